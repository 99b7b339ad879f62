package front

import (
	"encoding/json"
)

// remoteDecodeParams tells a prefill engine that another engine will fetch the state (vLLM, kv_transfer_params).
var remoteDecodeParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`)

// PrefillBody is the request as a prefill engine gets it: one token, not streamed, with the state kept for a transfer.
func (c *Chat) PrefillBody() []byte {
	set := []Member{{"stream", json.RawMessage("false")}, {"stream_options", nil},
		{"max_tokens", json.RawMessage("1")}, {"kv_transfer_params", remoteDecodeParams}}
	if c.Object.Get("max_completion_tokens") != nil {
		set = append(set, Member{"max_completion_tokens", json.RawMessage("1")})
	}
	return c.Object.With(set...).Bytes()
}

// DecodeBody is the request as a decode engine gets it: always streamed, so that the node sees the first token and a break, and with the
// state to fetch (nil = none: the engine prefills by itself). A response that is not streamed is collected from the stream and needs
// the usage.
func (c *Chat) DecodeBody(state json.RawMessage) []byte {
	set := []Member{{"kv_transfer_params", state}}
	if !c.Stream {
		set = append(set, Member{"stream", json.RawMessage("true")},
			Member{"stream_options", json.RawMessage(`{"include_usage":true}`)})
	}
	return c.Object.With(set...).Bytes()
}
