package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/fleet"
	"dillroute/lab/record"
	"dillroute/lab/rules"

	"go.uber.org/goleak"
)

const testKey = "test-key-0001"

// chatHarness runs a ChatNode with emulated engines and a client.
type chatHarness struct {
	t        testing.TB
	log      *record.Log
	fleet    *fleet.Fleet
	node     *node.ChatNode
	client   *client.Client
	listFile string
	requests int
}

// emulators returns members for the given numbers of prefill, decode and mixed engines, named by role and number. change, if not nil,
// changes the settings of each.
func emulators(prefill, decode, mixed int, change func(*emulator.Settings)) []fleet.Member {
	var members []fleet.Member
	for _, g := range []struct {
		role string
		n    int
	}{{"prefill", prefill}, {"decode", decode}, {"mixed", mixed}} {
		for i := range g.n {
			s := emulator.Settings{ID: fmt.Sprintf("%s-%d", g.role, i+1), Role: g.role, DecodeStepMS: 1, PrefillTokensPerSecond: 200_000,
				TransferTokensPerSecond: 1e7, LocalPrefill: true, Seed: uint64(i)}
			if change != nil {
				change(&s)
			}
			members = append(members, fleet.Member{Settings: s, Kind: g.role, Cell: "a"})
		}
	}
	return members
}

// newChatHarness starts emulated engines and a node. change, if not nil, changes the node's configuration.
func newChatHarness(t testing.TB, members []fleet.Member, change func(map[string]any)) *chatHarness {
	t.Helper()
	h := &chatHarness{t: t, log: &record.Log{}, listFile: filepath.Join(t.TempDir(), "engines.json")}
	h.fleet = fleet.New(members, h.log)
	if err := h.fleet.Start(); err != nil {
		t.Fatal(err)
	}
	h.publishList()
	n, err := node.StartChat(h.configuration(change), node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))), node.WithSeed(1))
	if err != nil {
		t.Fatal(err)
	}
	h.node = n
	h.client = client.New(testKey, h.log)
	t.Cleanup(func() {
		h.client.Close()
		n.Shutdown(0)
		h.fleet.Stop()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return h
}

func (h *chatHarness) configuration(change func(map[string]any)) *config.Config {
	h.t.Helper()
	m := map[string]any{"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "node": map[string]any{"name": "node-0"},
		"kinds": []any{map[string]any{"name": "prefill", "role": "prefill", "memory_tokens": 200000},
			map[string]any{"name": "decode", "role": "decode", "memory_tokens": 200000},
			map[string]any{"name": "mixed", "role": "mixed", "memory_tokens": 200000}},
		"classes": []any{
			map[string]any{"name": "chat", "effect": "repeatable", "aim_s": 1, "patience_s": 4, "token_aim_s": 0.06},
			map[string]any{"name": "commit", "effect": "once", "aim_s": 2, "patience_s": 4, "token_aim_s": 0.08}},
		"models":  []any{map[string]any{"name": "chat", "class": "chat"}, map[string]any{"name": "commit", "class": "commit"}},
		"tenants": []any{map[string]any{"name": "t", "keys": []string{testKey}}},
		"engines": map[string]any{"file": h.listFile, "poll_s": 0.05}, "limits": map[string]any{}}
	if change != nil {
		change(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		h.t.Fatal(err)
	}
	c, err := config.Parse(b)
	if err != nil {
		h.t.Fatal(err)
	}
	return c
}

// withLimits returns a change for newChatHarness that sets the limits of the configuration.
func withLimits(limits map[string]any) func(map[string]any) {
	return func(m map[string]any) { m["limits"] = limits }
}

func (h *chatHarness) publishList() {
	h.t.Helper()
	if err := h.fleet.WriteListFile(h.fleet.List(), "node-0", h.listFile); err != nil {
		h.t.Fatal(err)
	}
}

// newRequest returns a request of a class for a response of the given number of tokens.
func (h *chatHarness) newRequest(class string, tokens int) client.Request {
	h.requests++
	return client.Request{Model: class, Patience: 4 * time.Second, MaxTokens: 200,
		Messages: []emulator.Message{{Role: "system", Content: "You help with rosters."},
			{Role: "user", Content: fmt.Sprintf("Question %d: who can cover a sick call?", h.requests)}},
		Mark: emulator.Mark{Operation: fmt.Sprintf("op%d", h.requests), Class: class, ResponseTokens: tokens}}
}

func (h *chatHarness) send(request client.Request) client.Result {
	return h.client.Do(context.Background(), "node-0", h.node.Addr().String(), request)
}

// countRecords counts the records of a kind for an operation.
func (h *chatHarness) countRecords(kind record.Kind, op string) int {
	n := 0
	for _, x := range h.log.All() {
		if x.Kind == kind && x.Op == op {
			n++
		}
	}
	return n
}

// eventually waits until f returns true. The timeout only ends the run of a failing test; no test relies on its length.
func (h *chatHarness) eventually(what string, f func() bool) {
	h.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	h.t.Fatalf("not seen within 10 s: %s", what)
}

// requireNoViolations waits until no engine holds a state and checks all records against the rules.
func (h *chatHarness) requireNoViolations() {
	h.t.Helper()
	h.eventually("no engine holds a state", func() bool {
		heldStates := map[string]bool{}
		for _, x := range h.log.All() {
			switch x.Kind {
			case record.StateReserved:
				heldStates[x.State] = true
			case record.StateEnded:
				delete(heldStates, x.State)
			}
		}
		return len(heldStates) == 0
	})
	for _, v := range rules.Check(h.log.All(), chatRules()) {
		h.t.Error(v)
	}
}

func chatRules() rules.Config {
	return rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"},
		"commit": {Effect: "once", Group: "all"}}, Engines: map[string]rules.Engine{}, AnswerSlack: 0.05, DrainGrace: 0.25,
		ListLag: 0.5, OverloadMultiple: 4, SlowStartWindow: 1.5, StateReleaseLimit: 1, Skew: 0.5}
}
