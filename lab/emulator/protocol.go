package emulator

import "encoding/json"

// Mark travels in a request as the unknown member "x_lab", which a router must forward unchanged. Engines record what they serve
// under it, and it may fix the length of the response.
type Mark struct {
	Operation      string `json:"op"`  // what the client wants done; its attempts share it
	Attempt        int    `json:"try"` // of the client, from 0
	Class          string `json:"class"`
	ResponseTokens int    `json:"answer,omitempty"` // 0 = a length drawn from the prompt
}

// Message is a message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is a chat request as an engine reads it.
type request struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Transfer *transferParams `json:"kv_transfer_params"`
	Mark     Mark            `json:"x_lab"`
}

// transferParams are the engine protocol's parameters of a KV transfer.
type transferParams struct {
	DoRemoteDecode  bool            `json:"do_remote_decode"`
	DoRemotePrefill bool            `json:"do_remote_prefill"`
	EngineID        *string         `json:"remote_engine_id"`
	BlockIDs        json.RawMessage `json:"remote_block_ids"`
	Host            *string         `json:"remote_host"`
	Port            *int            `json:"remote_port"`
}

// maxTokens is the most tokens that the response may have; 0 = no bound.
func (r *request) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// tokensOf estimates the tokens of a prompt, as the node does for plain text: four bytes a token, and four tokens a message.
func tokensOf(messages []Message) int {
	tokens := 0
	for _, m := range messages {
		tokens += (len(m.Content)+3)/4 + 4
	}
	return tokens
}
