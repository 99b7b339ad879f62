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

// rig is a node before a fleet of stand-ins.
type rig struct {
	t      testing.TB
	log    *record.Log
	fleet  *fleet.Fleet
	node   *node.ChatNode
	client *client.Client
	list   string
	ops    int
}

// engines makes stand-ins named by role and number.
func engines(prefill, decode, mixed int, change func(*emulator.Settings)) []fleet.Member {
	var ms []fleet.Member
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
			ms = append(ms, fleet.Member{Settings: s, Kind: g.role, Cell: "a"})
		}
	}
	return ms
}

// newRig starts engines and a node; set changes the node's configuration.
func newRig(t testing.TB, ms []fleet.Member, set func(map[string]any)) *rig {
	t.Helper()
	r := &rig{t: t, log: &record.Log{}, list: filepath.Join(t.TempDir(), "engines.json")}
	r.fleet = fleet.New(ms, r.log)
	if err := r.fleet.Start(); err != nil {
		t.Fatal(err)
	}
	r.publish()
	n, err := node.StartChat(r.config(set), node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))), node.WithSeed(1))
	if err != nil {
		t.Fatal(err)
	}
	r.node = n
	r.client = client.New(testKey, r.log)
	t.Cleanup(func() {
		r.client.Close()
		n.Shutdown(0)
		r.fleet.Stop()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return r
}

func (r *rig) config(set func(map[string]any)) *config.Config {
	r.t.Helper()
	m := map[string]any{"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "node": map[string]any{"name": "node-0"},
		"kinds": []any{map[string]any{"name": "prefill", "role": "prefill", "memory_tokens": 200000},
			map[string]any{"name": "decode", "role": "decode", "memory_tokens": 200000},
			map[string]any{"name": "mixed", "role": "mixed", "memory_tokens": 200000}},
		"classes": []any{
			map[string]any{"name": "chat", "effect": "repeatable", "aim_s": 1, "patience_s": 4, "token_aim_s": 0.06},
			map[string]any{"name": "commit", "effect": "once", "aim_s": 2, "patience_s": 4, "token_aim_s": 0.08}},
		"models":  []any{map[string]any{"name": "chat", "class": "chat"}, map[string]any{"name": "commit", "class": "commit"}},
		"tenants": []any{map[string]any{"name": "t", "keys": []string{testKey}}},
		"engines": map[string]any{"file": r.list, "poll_s": 0.05}, "limits": map[string]any{}}
	if set != nil {
		set(m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		r.t.Fatal(err)
	}
	c, err := config.Parse(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// limits sets limits of the configuration.
func limits(set map[string]any) func(map[string]any) {
	return func(m map[string]any) { m["limits"] = set }
}

func (r *rig) publish() {
	r.t.Helper()
	if err := r.fleet.Publish(r.fleet.List(), "node-0", r.list); err != nil {
		r.t.Fatal(err)
	}
}

// ask makes a request of a class.
func (r *rig) ask(class string, tokens int) client.Ask {
	r.ops++
	return client.Ask{Model: class, Patience: 4 * time.Second, MaxTokens: 200,
		Messages: []emulator.Message{{Role: "system", Content: "You help with rosters."},
			{Role: "user", Content: fmt.Sprintf("Question %d: who can cover a sick call?", r.ops)}},
		Mark: emulator.Mark{Operation: fmt.Sprintf("op%d", r.ops), Class: class, ResponseTokens: tokens}}
}

func (r *rig) do(a client.Ask) client.Result {
	return r.client.Do(context.Background(), "node-0", r.node.Addr().String(), a)
}

// runs counts how often an operation ran at an engine.
func (r *rig) count(kind record.Kind, op string) int {
	n := 0
	for _, x := range r.log.All() {
		if x.Kind == kind && x.Op == op {
			n++
		}
	}
	return n
}

// eventually waits until a thing is so; the time is a bound for broken code, not part of the proof.
func (r *rig) eventually(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	r.t.Fatalf("not seen in time: %s", what)
}

// lawful judges the rules over all that was recorded. States that are held get the time they may have.
func (r *rig) lawful() {
	r.t.Helper()
	r.eventually("no state is held", func() bool {
		held := map[string]bool{}
		for _, x := range r.log.All() {
			switch x.Kind {
			case record.Parsed:
				held[x.State] = true
			case record.StateEnd:
				delete(held, x.State)
			}
		}
		return len(held) == 0
	})
	for _, v := range rules.Check(r.log.All(), ruleConfig()) {
		r.t.Error(v)
	}
}

func ruleConfig() rules.Config {
	return rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"},
		"commit": {Effect: "once", Group: "all"}}, Engines: map[string]rules.Engine{}, AnswerSlack: 0.05, DrainGrace: 0.25,
		ListLag: 0.5, OverloadMultiple: 4, SlowStartWindow: 1.5, StateReleaseLimit: 1, Skew: 0.5}
}
