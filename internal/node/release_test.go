package node

import (
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// slowDials is an engine side on which reads end at once and connections to writers never come up.
type slowDials struct {
	mu       sync.Mutex
	read     time.Time // when the first read ended
	released time.Time // when the first release was made
	began    time.Time // when the attempt that followed upon it began
	cut      bool      // the first read is broken off
	said     chan struct{}
}

const (
	connect   = 250 * time.Millisecond
	callTakes = 5 * time.Millisecond // to release
)

func (s *slowDials) Attempt(c protocol.AttemptSpec) protocol.Attempt { return &slowDial{s: s, call: c} }
func (s *slowDials) AttemptEnded(int, protocol.Result)               {}
func (s *slowDials) ResponseGranted()                                {}
func (s *slowDials) EngineResponse(int) protocol.Response            { return protocol.Response{} }
func (s *slowDials) Respond(protocol.Response)                       { close(s.said) }
func (s *slowDials) NodeResponse(outcome.Response, float64, string) protocol.Response {
	return protocol.Response{}
}
func (s *slowDials) CloseExpired()  {}
func (s *slowDials) CloseIdle()     {}
func (s *slowDials) Close()         {}
func (s *slowDials) SaveState(bool) {}
func (s *slowDials) Release(string, string, int, time.Duration) error {
	time.Sleep(callTakes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released.IsZero() && !s.read.IsZero() {
		s.released = time.Now()
	}
	return nil
}

type slowDial struct {
	protocol.AttemptControl
	s    *slowDials
	call protocol.AttemptSpec
}

func (a *slowDial) Run(protocol.AttemptObserver) protocol.Result {
	a.s.mu.Lock()
	if !a.s.released.IsZero() && a.s.began.IsZero() {
		a.s.began = time.Now()
	}
	a.s.mu.Unlock()
	if a.call.Stage == outcome.Prefill {
		a.s.mu.Lock()
		defer a.s.mu.Unlock()
		if a.s.cut {
			a.s.cut = false
			return protocol.Result{Evidence: outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}}
		}
		if a.s.read.IsZero() {
			a.s.read = time.Now()
		}
		return protocol.Result{Evidence: outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}}
	}
	time.Sleep(connect)
	return protocol.Result{Evidence: outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}}
}

// A state is released as soon as it is let go of, though the next attempt goes out in the same pass and takes long to fail: while
// connections fail to come up, the time of what is held runs on. The attempt goes behind the release, which would take what it brings.
func TestReleaseDoesNotWaitForTheNextAttempt(t *testing.T) {
	t.Run("one read", func(t *testing.T) { releaseInTime(t, &slowDials{}) })
	t.Run("a read broken off before", func(t *testing.T) { releaseInTime(t, &slowDials{cut: true}) })
}

func releaseInTime(t *testing.T, s *slowDials) {
	const letGoBy = 0.3
	kinds := []scheduler.Kind{{Role: scheduler.Prefill, Memory: 2e5}, {Role: scheduler.Decode, Memory: 2e5}}
	classes := []scheduler.Class{{Effect: scheduler.Idempotent, FirstTokenObjective: 1, ClientTimeout: 4, OutputTokenObjective: 0.06, PriorityWeight: 1, LateValue: 0.3}}
	cfg := scheduler.Config{NodeCount: 1, ZoneCount: 1, Tick: 0.002, Classes: classes, Kinds: kinds, Tenants: []scheduler.Tenant{{}},
		Limits: scheduler.Limits{MaxAttempts: 6, Cancel: true},
		Rules:  scheduler.Rules{SlowStartShare: 0.25, SlowStartDuration: 1, OverloadMultiple: 4, SlowStartWindow: 1, StateReleaseLimit: letGoBy, PollInterval: 10, DrainGrace: 0.25}}
	s.said = make(chan struct{})
	n, err := newNode(plan{scheduler: cfg, tick: cfg.Tick, letGoBy: letGoBy, anyone: true, strain: overload.Limits{Connections: 10},
		book: requesttable.Config{Classes: classes, MaxOpenRequests: 8, MaxAttempts: 6, ResponseSlack: 0.05, DrainGrace: 0.25, ReleaseFreesAllStates: true}},
		options{log: slog.New(slog.NewTextHandler(io.Discard, nil)), seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.caller, n.lists = s, s
	n.runLoop(n.core.run)
	defer func() { n.core.post(func(float64) { n.core.quit = true }); n.loops.Wait(); n.running.wait() }()
	n.takeList(protocol.EndpointList{Form: scheduler.UpdateComplete, Addresses: map[string]string{"r0": "x", "r1": "x", "w0": "x", "w1": "x", "w2": "x"},
		Engines: []scheduler.Engine{{ID: "r0", Kind: 0, Weight: 1}, {ID: "r1", Kind: 0, Weight: 1}, {ID: "w0", Kind: 1, Weight: 1}, {ID: "w1", Kind: 1, Weight: 1}, {ID: "w2", Kind: 1, Weight: 1}}})
	n.core.post(func(now float64) {
		n.core.book.AddRequest(now, scheduler.Request{ID: "a", ClientTimeLeft: 4, PromptTokens: 1000, MaxOutputTokens: 100}, 0)
		n.calls["a"] = &call{id: "a", job: s, attempts: map[int]try{}, grants: map[int]chan bool{}}
	})
	select {
	case <-s.said:
	case <-time.After(10 * time.Second):
		t.Fatal("not answered")
	}
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The first try at a writer ends after the time to connect, and the state is let go of then.
	if s.released.IsZero() || s.released.Sub(s.read) > connect+150*time.Millisecond {
		t.Fatalf("released %v after the read", s.released.Sub(s.read))
	}
	if s.began.IsZero() {
		t.Fatal("no attempt followed, or it overtook the release")
	}
}
