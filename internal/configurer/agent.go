package configurer

import "encoding/json"

// AgentSettings is the part of a configuration that an agent applies.
type AgentSettings struct {
	// WaitingPerAgent is the maximum number of tasks that wait at the agent. It is positive.
	WaitingPerAgent int `json:"waiting-per-agent"`
}

// EncodeAgentSettings returns the encoded settings of the agents at the site of this
// configuration.
func (c *Config) EncodeAgentSettings() ([]byte, error) {
	text, err := json.Marshal(AgentSettings{WaitingPerAgent: c.Limits.WaitingPerAgent})
	if err != nil {
		return nil, &Error{Op: "encode-agent-settings", Kind: KindStored, Err: err}
	}
	return text, nil
}

// DecodeAgentSettings decodes settings that an entry has sent. Absent settings have their
// default.
func DecodeAgentSettings(text []byte) (AgentSettings, error) {
	s := AgentSettings{WaitingPerAgent: Default().Limits.WaitingPerAgent}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, &Error{Op: "decode-agent-settings", Kind: KindStored, Err: err}
	}
	return s, nil
}
