// Package classify determines the tenant and the class of a request, and how long its client waits, before the request is
// routed. It does no I/O. The same request always gets the same result.
package classify

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
)

// tokensPer1K is the unit of Class.ClientTimeoutPer1KTokens.
const tokensPer1K = 1000

// slowestOutputFactor is the multiple of the latency objective up to which an output still has worth.
const slowestOutputFactor = 2

// Class holds the parameters of a class that classification needs.
type Class struct {
	ClientTimeout            float64 // s until the client disconnects
	ClientTimeoutPer1KTokens float64 // s more for each 1,000 prompt tokens
	MaxTokens                int     // of a response, if the request states none
	OutputTokenObjective     float64 // s between tokens
}

// Rule assigns a class by the model's name (a shell pattern) and a header; empty fields match everything.
type Rule struct {
	Model, Header, Value string
	AnyValue             bool // the header may have any value that is not empty
	Class                int
}

// Table classifies requests by an immutable set of rules. It is safe for concurrent use.
type Table struct {
	classes []Class
	models  map[string]int
	rules   []Rule
	keys    []tenantKey
}

// tenantKey is the hash of an API key and the tenant that the key belongs to.
type tenantKey struct {
	hash   [sha256.Size]byte
	tenant int
}

// NewTable returns a table. models holds the class of each model; keys holds each tenant's keys, and hashes the SHA-256 hashes
// of further keys in hex. An invalid hash is ignored.
func NewTable(classes []Class, models map[string]int, rules []Rule, keys, hashes [][]string) *Table {
	t := &Table{classes: classes, models: models, rules: rules}
	for tenant, tenantKeys := range keys {
		for _, key := range tenantKeys {
			t.keys = append(t.keys, tenantKey{hash: sha256.Sum256([]byte(key)), tenant: tenant})
		}
	}
	for tenant, tenantHashes := range hashes {
		for _, text := range tenantHashes {
			key := tenantKey{tenant: tenant}
			if n, err := hex.Decode(key.hash[:], []byte(text)); err == nil && n == len(key.hash) {
				t.keys = append(t.keys, key)
			}
		}
	}
	return t
}

// Tenant returns the tenant of a key. It compares every key, in constant time, so that the time it takes reveals nothing.
func (t *Table) Tenant(key string) (tenant int, ok bool) {
	hash := sha256.Sum256([]byte(key))
	tenant = -1
	for i := range t.keys {
		if subtle.ConstantTimeCompare(hash[:], t.keys[i].hash[:]) == 1 {
			tenant = t.keys[i].tenant
		}
	}
	return tenant, tenant >= 0
}

// Class returns the class of a request: that of the first rule that matches, else that of its model. known reports whether the
// model is configured.
func (t *Table) Class(model string, header func(string) string) (class int, known bool) {
	class, known = t.models[model]
	if !known {
		return 0, false
	}
	for i := range t.rules {
		if t.rules[i].matches(model, header) {
			return t.rules[i].Class, true
		}
	}
	return class, true
}

func (r *Rule) matches(model string, header func(string) string) bool {
	if r.Model != "" {
		if ok, err := path.Match(r.Model, model); !ok || err != nil {
			return false
		}
	}
	if r.Header == "" {
		return true
	}
	value := header(r.Header)
	return value != "" && (r.AnyValue || value == r.Value)
}

// Timeouts are how long a client waits, in seconds.
type Timeouts struct {
	FirstToken       float64
	CompleteResponse float64 // of a response that does not stream; 0 = it streams
}

// ClientWait returns how long a client waits: the time of its class, or the time that the client has stated if that is shorter
// (0 = none is stated).
//
// A client that waits for a complete response receives nothing before the end, so its stated time has to include the decode.
// The time for the first token is therefore reduced by the longest decode at the latency objective, but by no more than half of
// the stated time, because most responses are shorter.
func (t *Table) ClientWait(class, promptTokens, maxTokens int, stated float64, complete bool) Timeouts {
	c := &t.classes[class]
	timeouts := Timeouts{FirstToken: c.ClientTimeout + c.ClientTimeoutPer1KTokens*float64(promptTokens)/tokensPer1K}
	decodeTime := float64(maxTokens) * c.OutputTokenObjective
	if complete {
		timeouts.CompleteResponse = timeouts.FirstToken + slowestOutputFactor*decodeTime
		if stated > 0 {
			timeouts.CompleteResponse = min(timeouts.CompleteResponse, stated)
			stated = max(stated-decodeTime, stated/2)
		}
	}
	if stated > 0 {
		timeouts.FirstToken = min(timeouts.FirstToken, stated)
	}
	return timeouts
}

// MaxTokens returns the maximum number of tokens of a response: the number that the request states, or that of its class if the
// request states none (0).
func (t *Table) MaxTokens(class, stated int) int {
	if stated > 0 {
		return stated
	}
	return t.classes[class].MaxTokens
}
