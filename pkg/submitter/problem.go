package submitter

// The headers of the API for callers.
const (
	// HeaderSubmissionID is the submission id, which the caller chooses.
	HeaderSubmissionID = "Sardinelock-Submission-Id"
	// HeaderTeam is the name of the team, for entries that require no token.
	HeaderTeam = "Sardinelock-Team"
)

// Problem is the body of the response to a request that is not a valid submission, in
// the format of RFC 9457. No task of such a request has started.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	// Field is the part of the request that is not valid; empty if Title and Detail say
	// enough.
	Field string `json:"field,omitempty"`
}
