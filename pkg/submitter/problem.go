package submitter

// The headers of the callers' API.
const (
	// HeaderSubmissionID carries the submission id that the caller chose.
	HeaderSubmissionID = "Sardinelock-Submission-Id"
	// HeaderTeam names the team where no token does.
	HeaderTeam = "Sardinelock-Team"
)

// Problem is the body of an answer to a request that is no valid submission, in
// the form of RFC 9457. No task of such a request has started.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
}
