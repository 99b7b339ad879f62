package front

import (
	"encoding/json"
)

// remoteDecodeParams are the parameters for a prefill engine whose state another engine will fetch (vLLM, kv_transfer_params).
var remoteDecodeParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`)

// PrefillBody returns the request body for a prefill engine: it limits the output to one token, does not stream, and has the engine
// retain the state for a transfer.
func (c *Chat) PrefillBody() []byte {
	members := []Member{{"stream", json.RawMessage("false")}, {"stream_options", nil},
		{"max_tokens", json.RawMessage("1")}, {"kv_transfer_params", remoteDecodeParams}}
	if c.Object.Get("max_completion_tokens") != nil {
		members = append(members, Member{"max_completion_tokens", json.RawMessage("1")})
	}
	return c.Object.With(members...).Bytes()
}

// DecodeBody returns the request body for a decode engine. state is the state to fetch; nil = none, and the engine prefills itself. The
// engine always streams, because only a stream shows the node when the first token arrives and whether the response is interrupted. If
// the client requested a response that is not streamed, the node collects it from the stream, which must then include the usage.
func (c *Chat) DecodeBody(state json.RawMessage) []byte {
	members := []Member{{"kv_transfer_params", state}}
	if !c.Stream {
		members = append(members, Member{"stream", json.RawMessage("true")},
			Member{"stream_options", json.RawMessage(`{"include_usage":true}`)})
	}
	return c.Object.With(members...).Bytes()
}
