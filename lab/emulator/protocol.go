package emulator

import "encoding/json"

// Mark identifies a request in the records of engines, and may fix the length of its response. It is sent as the request's member "x_lab",
// which is unknown to routers: they must forward it unchanged.
type Mark struct {
	Operation      string `json:"op"`  // the operation, shared by all attempts of the client at it
	Attempt        int    `json:"try"` // number of the client's attempt, from 0
	Class          string `json:"class"`
	ResponseTokens int    `json:"answer,omitempty"` // 0 = a length derived from the prompt's digest
}

// Message is a message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is the part of a chat request that an engine evaluates.
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

// maxTokens returns the maximum number of tokens of the response; 0 = no limit.
func (r *request) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// tokensOf estimates the number of tokens of a prompt as the node does for plain text: four bytes per token, plus four tokens per message.
func tokensOf(messages []Message) int {
	tokens := 0
	for _, m := range messages {
		tokens += (len(m.Content)+3)/4 + 4
	}
	return tokens
}
