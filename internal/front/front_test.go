package front

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const body = `{"model":"m","messages":[{"role":"system","content":"be kind"},{"role":"user","content":[{"type":"text","text":"hi"}]}],` +
	`"stream":true,"x_unknown":{"a":[1,2.50,1e400]},"metadata":null,"max_tokens":7,"user":"u"}`

func TestUnknownMembersReachTheEngineUnchanged(t *testing.T) {
	c, err := ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range [][]byte{c.PrefillBody(), c.DecodeBody(json.RawMessage(`{"k":1}`))} {
		if !strings.Contains(string(b), `"x_unknown":{"a":[1,2.50,1e400]}`) || !strings.Contains(string(b), `"metadata":null`) {
			t.Fatalf("a member is missing or was changed: %s", b)
		}
	}
	var p map[string]any
	json.Unmarshal([]byte(strings.Replace(string(c.PrefillBody()), "1e400", "1", 1)), &p)
	if p["stream"] != false || p["max_tokens"] != 1.0 ||
		p["kv_transfer_params"].(map[string]any)["do_remote_decode"] != true {
		t.Fatalf("unexpected members for a prefill engine: %v", p)
	}
	if _, has := p["max_completion_tokens"]; has {
		t.Fatal("the body has a member that the client did not send")
	}
}

func TestRoutingFieldsOfARequest(t *testing.T) {
	c, err := ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	if c.Model != "m" || !c.Stream || c.MaxTokens != 7 || c.Session != "u" || c.Prefix == "" || c.PrefixTokens >= c.PromptTokens {
		t.Fatalf("got unexpected fields %+v", c)
	}
	other, _ := ParseChat([]byte(strings.Replace(body, `"hi"`, `"ho"`, 1)))
	third, _ := ParseChat([]byte(strings.Replace(body, "be kind", "be quick", 1)))
	if other.Prefix != c.Prefix || third.Prefix == c.Prefix {
		t.Fatal("the prefix must depend on the system text, and on nothing else")
	}
	systemLater, _ := ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"a"},{"role":"system","content":"b"}]}`))
	if systemLater.Prefix != "" {
		t.Fatal("a system message after other messages must not count as a prefix")
	}
}

func TestInvalidRequestsNameTheirMember(t *testing.T) {
	for text, param := range map[string]string{
		`{`: "", `[]`: "", `{"model":"m"} x`: "", `{"model":"m","model":"n","messages":[]}`: "",
		`{"messages":[{"role":"user","content":"a"}]}`: "model", `{"model":1}`: "model",
		`{"model":"m","messages":[]}`: "messages", `{"model":"m","messages":"a"}`: "messages",
		`{"model":"m","messages":[{"role":"king","content":"a"}]}`:                                    "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":3}]}`:                                      "messages[0].content",
		`{"model":"m","messages":[{"role":"user","content":"a"}],"stream":"yes"}`:                     "stream",
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max_completion_tokens":-1}`:         "max_completion_tokens",
		`{"model":"m","messages":[{"role":"user","content":"a"}],"n":0}`:                              "n",
		`{"model":"m","messages":[{"role":"user","content":"a"}],"prompt_cache_key":["a"]}`:           "prompt_cache_key",
		fmt.Sprintf(`{"model":"m","messages":[{"role":"user"}],"user":%q}`, strings.Repeat("a", 600)): "prompt_cache_key",
	} {
		_, err := ParseChat([]byte(text))
		f, ok := err.(*FieldError)
		if !ok || f.Param != param {
			t.Errorf("%s: got error %v, want one that names member %q", text, err, param)
		}
	}
}

// Setting and removing members must leave all other members of an object unchanged.
func TestObjectPreservesMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.String(), rapid.ID).Draw(t, "names")
		want := map[string]any{}
		b := []byte("{")
		for i, n := range names {
			key, _ := json.Marshal(n)
			v, _ := json.Marshal(rapid.String().Draw(t, "value"))
			if i > 0 {
				b = append(b, ',')
			}
			b = append(append(append(b, key...), ':'), v...)
		}
		b = append(b, '}')
		if err := json.Unmarshal(b, &want); err != nil {
			t.Skip("not an object that the library reads back")
		}
		o, err := ParseObject(b)
		if err != nil {
			if len(want) < len(names) { // names that differ only in bytes that are no UTF-8
				return
			}
			t.Fatal(err)
		}
		delete(want, "x")
		want["y"] = 1.0
		var got map[string]any
		text := o.With(Member{"x", nil}, Member{"y", json.RawMessage("1")}).Bytes()
		if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%v, %v, want %v", err, got, want)
		}
	})
}

func TestStreamCollectorJoinsAStream(t *testing.T) {
	g := NewStreamCollector(10000)
	for _, c := range []string{
		`{"id":"i","object":"chat.completion.chunk","model":"m",` +
			`"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}],"usage":null}`,
		`{"id":"i","choices":[{"index":0,"delta":{"content":"kia "},"logprobs":{"content":[{"token":"kia"}]}},` +
			`{"index":1,"delta":{"role":"assistant","content":"b"}}]}`,
		`{"id":"i","choices":[{"index":0,"delta":{"content":"ora"},"logprobs":{"content":[{"token":"ora"}]}}]}`,
		`{"id":"i","choices":[{"index":1,"delta":{"tool_calls":[` +
			`{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"i","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},` +
			`"finish_reason":"tool_calls"}]}`,
		`{"id":"i","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"x_new":1.50}`,
		`{"id":"i","choices":[],"usage":{"total_tokens":9}}`,
	} {
		if err := g.Add([]byte(c)); err != nil {
			t.Fatal(err)
		}
	}
	b, err := g.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	want := `{"choices":[{"finish_reason":"stop","index":0,"logprobs":{"content":[{"token":"kia"},{"token":"ora"}]},` +
		`"message":{"content":"kia ora","role":"assistant"}},{"finish_reason":"tool_calls","index":1,"message":{"content":"b",` +
		`"role":"assistant","tool_calls":[{"function":{"arguments":"{\"a\":1}","name":"f"},"id":"t","type":"function"}]}}],` +
		`"id":"i","model":"m","object":"chat.completion","usage":{"total_tokens":9},"x_new":1.50}`
	if string(b) != want {
		t.Fatalf("\ngot  %s\nwant %s", b, want)
	}
	if err := NewStreamCollector(5).Add([]byte(`{"choices":[]}`)); err == nil {
		t.Fatal("chunks above the maximum size were accepted")
	}
}

func TestChunksAreRecognized(t *testing.T) {
	for text, want := range map[string]Chunk{
		"[DONE]": {Done: true}, `{"choices":[]}`: {}, `{"choices":[{"delta":{"role":"assistant","content":""}}]}`: {},
		`{"choices":[{"delta":{"content":"a"}}]}`: {Token: true}, `{"choices":[{"delta":{},"finish_reason":"stop"}]}`: {Token: true},
		`{"choices":[{"delta":{"tool_calls":[{}]}}]}`: {Token: true},
	} {
		if got, err := ReadChunk([]byte(text)); err != nil || got != want {
			t.Errorf("%s: got unexpected chunk %+v or error %v", text, got, err)
		}
	}
	if c, err := ReadChunk([]byte(`{"error":"plain"}`)); err != nil || c.Err == nil {
		t.Error("an error in another format is not recognized", err)
	}
	for _, text := range []string{"", "{", "{}", `{"choices":null}`, "3"} {
		if c, err := ReadChunk([]byte(text)); err == nil {
			t.Errorf("%q was accepted as a chunk: %+v", text, c)
		}
	}
}
