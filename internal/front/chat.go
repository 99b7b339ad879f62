package front

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// Chat holds a parsed chat request and the members by which the node routes it.
type Chat struct {
	Object       *Object
	Model        string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int    // 0 = not stated
	Choices      int    // number of responses (member n)
	Session      string // prompt_cache_key, else user; "" = neither
	Prefix       string // hash of the tools and the leading system messages; "" = none
	PromptTokens int    // estimated
	PrefixTokens int    // estimated tokens of the prefix
}

// FieldError is an invalid member of a request.
type FieldError struct {
	Param  string // name of the member; "" = the whole body
	Reason string
}

// Error returns the member's name and the reason.
func (e *FieldError) Error() string { return e.Param + ": " + e.Reason }

// Bounds of a request, apart from the size of its body.
const (
	maxMessages = 10_000
	maxKey      = 512 // bytes of a session key
	maxChoices  = 128 // responses to one request (member n)
)

// ParseChat parses a chat request and validates the members by which the node routes. An error is a *FieldError.
func ParseChat(body []byte) (*Chat, error) {
	o, err := ParseObject(body)
	if err != nil {
		return nil, &FieldError{"", err.Error()}
	}
	c := &Chat{Object: o, Choices: 1}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var legacyMaxTokens int
	var user string
	for _, m := range []struct {
		name string
		dest any
	}{
		{"model", &c.Model}, {"stream", &c.Stream}, {"stream_options", &options}, {"n", &c.Choices},
		{"max_tokens", &legacyMaxTokens}, {"max_completion_tokens", &c.MaxTokens},
		{"prompt_cache_key", &c.Session}, {"user", &user},
	} {
		if raw := o.Get(m.name); raw != nil {
			if json.Unmarshal(raw, m.dest) != nil {
				return nil, &FieldError{m.name, "is of the wrong type: " + truncate(string(raw))}
			}
		}
	}
	c.IncludeUsage = options.IncludeUsage
	if c.MaxTokens == 0 {
		c.MaxTokens = legacyMaxTokens
	}
	if c.Session == "" {
		c.Session = user
	}
	switch {
	case c.Model == "":
		return nil, &FieldError{"model", "is missing"}
	case c.MaxTokens < 0:
		return nil, &FieldError{"max_completion_tokens", "is negative"}
	case c.Choices < 1 || c.Choices > maxChoices:
		return nil, &FieldError{"n", fmt.Sprintf("must be 1 to %d", maxChoices)}
	case len(c.Session) > maxKey:
		return nil, &FieldError{"prompt_cache_key", fmt.Sprintf("is longer than %d bytes", maxKey)}
	}
	return c, c.readMessages()
}

func truncate(s string) string {
	if len(s) <= 60 {
		return s
	}
	cut := 60
	for cut > 0 && !utf8.RuneStart(s[cut]) {
		cut--
	}
	return s[:cut] + "…"
}
