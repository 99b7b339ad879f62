package front

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Chat is what the node routes a chat request by.
type Chat struct {
	Object       *Object
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int // 0 = not stated
	Choices      int
	Session      string // prompt_cache_key, else user; "" = neither
	Prefix       string // hash of the leading system and tool text; "" = none
	PromptTokens int    // estimated
	PrefixTokens int
}

// FieldError is a member of a request that cannot be.
type FieldError struct{ Param, Reason string }

func (e *FieldError) Error() string { return e.Param + ": " + e.Reason }

// Bounds of a request, beside the size of its body.
const (
	maxMessages = 10_000
	maxKey      = 512 // bytes of a session key
)

// ParseChat reads the members of a chat request that matter to a router; the error is a *FieldError.
func ParseChat(body []byte) (*Chat, error) {
	o, err := ParseObject(body)
	if err != nil {
		return nil, &FieldError{"", err.Error()}
	}
	c := &Chat{Object: o, Choices: 1}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var older int
	var user string
	for _, m := range []struct {
		name string
		to   any
	}{
		{"model", &c.Model}, {"stream", &c.Stream}, {"stream_options", &options}, {"n", &c.Choices},
		{"max_tokens", &older}, {"max_completion_tokens", &c.MaxTokens},
		{"prompt_cache_key", &c.Session}, {"user", &user},
	} {
		if raw := o.Get(m.name); raw != nil {
			if json.Unmarshal(raw, m.to) != nil {
				return nil, &FieldError{m.name, "is of the wrong type: " + clip(string(raw))}
			}
		}
	}
	c.IncludeUsage = options.IncludeUsage
	if c.MaxTokens == 0 {
		c.MaxTokens = older
	}
	if c.Session == "" {
		c.Session = user
	}
	switch {
	case c.Model == "":
		return nil, &FieldError{"model", "is missing"}
	case c.MaxTokens < 0:
		return nil, &FieldError{"max_completion_tokens", "is negative"}
	case c.Choices < 1 || c.Choices > 128:
		return nil, &FieldError{"n", "must be 1 to 128"}
	case len(c.Session) > maxKey:
		return nil, &FieldError{"prompt_cache_key", fmt.Sprintf("is longer than %d bytes", maxKey)}
	}
	return c, c.readMessages()
}

// message is the part of a message that counts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readMessages estimates the prompt and hashes its leading system, developer and tool text, which other sessions
// share.
func (c *Chat) readMessages() error {
	raw := c.Object.Get("messages")
	var ms []message
	if raw == nil || json.Unmarshal(raw, &ms) != nil {
		return &FieldError{"messages", "must be a list of messages"}
	}
	if len(ms) == 0 || len(ms) > maxMessages {
		return &FieldError{"messages", fmt.Sprintf("must hold 1 to %d messages", maxMessages)}
	}
	h, leading, tokens := xxhash.New(), true, 0
	if tools := c.Object.Get("tools"); tools != nil {
		h.Write(tools)
		tokens += estimate(string(tools))
		c.PrefixTokens = tokens
	}
	for i, m := range ms {
		text, err := contentText(m.Content)
		if err != nil {
			return &FieldError{fmt.Sprintf("messages[%d].content", i), err.Error()}
		}
		switch m.Role {
		case "system", "developer":
			if leading {
				h.WriteString(m.Role)
				h.WriteString("\x00")
				h.WriteString(text)
				c.PrefixTokens = tokens + estimate(text) + perMessage
			}
		case "user", "assistant", "tool", "function":
			leading = false
		default:
			return &FieldError{fmt.Sprintf("messages[%d].role", i),
				fmt.Sprintf("%q is not system, developer, user, assistant or tool", clip(m.Role))}
		}
		tokens += estimate(text) + perMessage
	}
	c.PromptTokens = tokens
	if c.PrefixTokens > 0 {
		c.Prefix = strconv.FormatUint(h.Sum64(), 16)
	}
	return nil
}

// perMessage is what the marks around a message cost, in tokens.
const perMessage = 4

// estimate guesses the tokens of a text: four characters each for plain text, one each for characters outside
// ASCII. It errs by some tens of percent and is replaced when the node counts tokens itself.
func estimate(text string) int {
	runes := utf8.RuneCountInString(text)
	wide := 0
	for i := range len(text) {
		if text[i] >= 0xc0 {
			wide++
		}
	}
	return int(math.Ceil(float64(runes-wide)/4)) + wide
}

// contentText returns the text of a message's content: a string, or the text parts of a list.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil // an assistant's message with tool calls alone
	}
	if raw[0] == '"' {
		var s string
		err := json.Unmarshal(raw, &s)
		return s, err
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", fmt.Errorf("is neither a string nor a list of parts")
	}
	text := ""
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

func clip(s string) string {
	if len(s) <= 60 {
		return s
	}
	cut := 60
	for cut > 0 && !utf8.RuneStart(s[cut]) {
		cut--
	}
	return s[:cut] + "…"
}

// remote is the engine protocol's word to a prefill engine that another engine will take the state.
var remote = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`)

// PrefillBody is the client's request as a prefill engine gets it: one token, no stream, and the state kept.
func (c *Chat) PrefillBody() []byte {
	set := []Member{{"stream", json.RawMessage("false")}, {"stream_options", nil},
		{"max_tokens", json.RawMessage("1")}, {"kv_transfer_params", remote}}
	if c.Object.Get("max_completion_tokens") != nil {
		set = append(set, Member{"max_completion_tokens", json.RawMessage("1")})
	}
	return c.Object.With(set...).Bytes()
}

// DecodeBody is the client's request as a decode engine gets it: always streamed, so that the node sees the first
// token and a break, and with the state to fetch (nil = none: the engine reads by itself). A whole answer is
// gathered from the stream and needs the usage.
func (c *Chat) DecodeBody(state json.RawMessage) []byte {
	set := []Member{{"kv_transfer_params", state}}
	if !c.Stream {
		set = append(set, Member{"stream", json.RawMessage("true")},
			Member{"stream_options", json.RawMessage(`{"include_usage":true}`)})
	}
	return c.Object.With(set...).Bytes()
}
