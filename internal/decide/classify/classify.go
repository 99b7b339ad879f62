// Package classify decides what a request is before it is routed: whose it is, of which class, and how long its
// client waits. It does no I/O. The same request always gets the same answer.
package classify

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
)

// Class is what intake needs of a class.
type Class struct {
	ClientTimeout, ClientTimeoutPer1KTokens float64 // s until the client gives up, and more for each 1,000 prompt tokens
	MaxTokens                               int     // taken where the request states none
	OutputTokenObjective                    float64 // s between tokens
}

// Rule settles a class by the model's name (a shell pattern) and a header; empty parts fit everything.
type Rule struct {
	Model, Header, Value string
	AnyValue             bool
	Class                int
}

// Table is an immutable set of rules. It is safe for concurrent use.
type Table struct {
	classes []Class
	models  map[string]int
	rules   []Rule
	keys    [][sha256.Size]byte
	owners  []int
}

// NewTable makes a table. keys holds, for each tenant, its keys; hashes the SHA-256 of keys, in hex.
func NewTable(classes []Class, models map[string]int, rules []Rule, keys, hashes [][]string) *Table {
	t := &Table{classes: classes, models: models, rules: rules}
	add := func(sum [sha256.Size]byte, tenant int) {
		t.keys, t.owners = append(t.keys, sum), append(t.owners, tenant)
	}
	for tenant, ks := range keys {
		for _, k := range ks {
			add(sha256.Sum256([]byte(k)), tenant)
		}
	}
	for tenant, hs := range hashes {
		for _, h := range hs {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(h)); err == nil && n == len(sum) {
				add(sum, tenant)
			}
		}
	}
	return t
}

// Tenant returns whose key it is. Every key is compared, in constant time, so that the time tells nothing.
func (t *Table) Tenant(key string) (tenant int, ok bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range t.keys {
		if subtle.ConstantTimeCompare(sum[:], t.keys[i][:]) == 1 {
			found = t.owners[i]
		}
	}
	return found, found >= 0
}

// Class returns the class of a request: that of the first rule that fits, else its model's. known tells whether
// the model may be named at all.
func (t *Table) Class(model string, header func(string) string) (class int, known bool) {
	class, known = t.models[model]
	if !known {
		return 0, false
	}
	for i := range t.rules {
		if t.rules[i].fits(model, header) {
			return t.rules[i].Class, true
		}
	}
	return class, true
}

func (r *Rule) fits(model string, header func(string) string) bool {
	if r.Model != "" {
		if ok, err := path.Match(r.Model, model); !ok || err != nil {
			return false
		}
	}
	if r.Header == "" {
		return true
	}
	v := header(r.Header)
	return v != "" && (r.AnyValue || v == r.Value)
}

// Timeouts is how long a client waits, in seconds.
type Timeouts struct {
	FirstToken       float64 // for the first token
	CompleteResponse float64 // for the whole of an answer that is not streamed; 0 = it is
}

// ClientWait returns how long a client waits: as its class says, or less where it has told so itself (stated, 0 = not).
// A client that asks for no stream sees nothing before the end. What it waits must hold the making of the answer too:
// the longest at the pace aimed for, but never more than half, since most answers are shorter.
func (t *Table) ClientWait(class, promptTokens, maxTokens int, stated float64, whole bool) Timeouts {
	c := &t.classes[class]
	w := Timeouts{FirstToken: c.ClientTimeout + c.ClientTimeoutPer1KTokens*float64(promptTokens)/1000}
	making := float64(maxTokens) * c.OutputTokenObjective
	if whole {
		w.CompleteResponse = w.FirstToken + 2*making // twice the pace aimed for is the slowest that is worth anything
		if stated > 0 {
			w.CompleteResponse = min(w.CompleteResponse, stated)
			stated = max(stated-making, stated/2)
		}
	}
	if stated > 0 {
		w.FirstToken = min(w.FirstToken, stated)
	}
	return w
}

// MaxTokens returns the most that an answer may hold.
func (t *Table) MaxTokens(class, stated int) int {
	if stated > 0 {
		return stated
	}
	return t.classes[class].MaxTokens
}
