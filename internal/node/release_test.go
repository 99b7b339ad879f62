package node

import (
	"cmp"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

const (
	// connectTime is the time after which a connection to a decode engine fails.
	connectTime = 250 * time.Millisecond
	// releaseTime is the duration of a release call.
	releaseTime = 5 * time.Millisecond
)

// failingDecodes is a fake protocol whose prefills complete immediately and whose connections to decode engines fail after connectTime. It
// implements protocol.ClientExchange, protocol.EngineClient and protocol.EndpointSource.
type failingDecodes struct {
	responded chan struct{} // closed at the final response

	mu               sync.Mutex
	breakNextPrefill bool      // the next prefill ends with a broken connection
	prefilledAt      time.Time // when the first prefill completed
	releasedAt       time.Time // when the first release call after that ended
	nextAttemptAt    time.Time // when the first attempt after that started
}

func (f *failingDecodes) Attempt(spec protocol.AttemptSpec) protocol.Attempt {
	return &failingAttempt{protocol: f, spec: spec}
}
func (f *failingDecodes) AttemptEnded(int, protocol.Result)    {}
func (f *failingDecodes) ResponseGranted()                     {}
func (f *failingDecodes) EngineResponse(int) protocol.Response { return protocol.Response{} }
func (f *failingDecodes) Respond(protocol.Response)            { close(f.responded) }
func (f *failingDecodes) NodeResponse(outcome.Response, float64, string) protocol.Response {
	return protocol.Response{}
}
func (f *failingDecodes) CloseExpired()  {}
func (f *failingDecodes) CloseIdle()     {}
func (f *failingDecodes) Close()         {}
func (f *failingDecodes) SaveState(bool) {}
func (f *failingDecodes) Release(string, string, int, time.Duration) error {
	time.Sleep(releaseTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releasedAt.IsZero() && !f.prefilledAt.IsZero() {
		f.releasedAt = time.Now()
	}
	return nil
}

// failingAttempt is one attempt of failingDecodes.
type failingAttempt struct {
	protocol.AttemptControl
	protocol *failingDecodes
	spec     protocol.AttemptSpec
}

func (a *failingAttempt) Run(protocol.AttemptObserver) protocol.Result {
	a.protocol.attemptStarted()
	if a.spec.Stage == outcome.Prefill {
		return protocol.Result{Evidence: a.protocol.prefill()}
	}
	time.Sleep(connectTime)
	return protocol.Result{Evidence: outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}}
}

func (f *failingDecodes) attemptStarted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.releasedAt.IsZero() && f.nextAttemptAt.IsZero() {
		f.nextAttemptAt = time.Now()
	}
}

// prefill returns the result of a prefill, which is complete unless breakNextPrefill is set.
func (f *failingDecodes) prefill() outcome.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.breakNextPrefill {
		f.breakNextPrefill = false
		return outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}
	}
	if f.prefilledAt.IsZero() {
		f.prefilledAt = time.Now()
	}
	return outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}
}

// The scheduler releases a state and starts the next attempt in the same step, and the attempt takes long to fail. The release must not
// wait for the attempt, because the hold time of the state runs on. The attempt must wait for the release call, which would otherwise also
// release the state that the attempt brings.
func TestReleaseDoesNotWaitForNextAttempt(t *testing.T) {
	t.Run("one prefill", func(t *testing.T) { requireReleaseInTime(t, &failingDecodes{}) })
	t.Run("after a broken prefill", func(t *testing.T) { requireReleaseInTime(t, &failingDecodes{breakNextPrefill: true}) })
}

// startFailingNode starts a node on a fake protocol, with two prefill and three decode engines.
func startFailingNode(t *testing.T, fake *failingDecodes) *Node {
	t.Helper()
	const releaseLimit = 0.3
	kinds := []scheduler.Kind{{Role: scheduler.Prefill, Memory: 2e5}, {Role: scheduler.Decode, Memory: 2e5}}
	classes := []scheduler.Class{{Effect: scheduler.Idempotent, FirstTokenObjective: 1, ClientTimeout: 4, OutputTokenObjective: 0.06,
		PriorityWeight: 1, LateValue: 0.3}}
	schedulerConfig := scheduler.Config{NodeCount: 1, ZoneCount: 1, Tick: 0.002, Classes: classes, Kinds: kinds,
		Tenants: []scheduler.Tenant{{}}, Limits: scheduler.Limits{MaxAttempts: 6, Cancel: true},
		Rules: scheduler.Rules{SlowStartShare: 0.25, SlowStartDuration: 1, OverloadMultiple: 4, SlowStartWindow: 1,
			StateReleaseLimit: releaseLimit, PollInterval: 10, DrainGrace: 0.25}}
	config := hostConfig{
		scheduler:         schedulerConfig,
		tick:              schedulerConfig.Tick,
		anyEngineReleases: true,
		overload:          overload.Limits{Connections: 10},
		table: requesttable.Config{Classes: classes, MaxOpenRequests: 8, MaxAttempts: 6, ResponseSlack: 0.05, DrainGrace: 0.25,
			ReleaseFreesAllStates: true, StateReleaseLimit: releaseLimit},
	}
	n, err := newNode(config, options{log: slog.New(slog.NewTextHandler(io.Discard, nil)), seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	n.engines, n.endpoints = fake, fake
	n.startLoop(n.loop.run)
	t.Cleanup(func() {
		n.loop.post(func(float64) { n.loop.stop() })
		n.loops.Wait()
		n.jobs.wait()
	})
	list := protocol.EndpointList{Form: scheduler.UpdateComplete, Addresses: map[string]string{}}
	for id, kind := range map[string]int{"r0": 0, "r1": 0, "w0": 1, "w1": 1, "w2": 1} {
		list.Addresses[id] = "x"
		list.Engines = append(list.Engines, scheduler.Engine{ID: id, Kind: kind, Weight: 1})
	}
	slices.SortFunc(list.Engines, func(a, b scheduler.Engine) int { return cmp.Compare(a.ID, b.ID) })
	n.updateEndpoints(list)
	return n
}

func requireReleaseInTime(t *testing.T, fake *failingDecodes) {
	t.Helper()
	fake.responded = make(chan struct{})
	n := startFailingNode(t, fake)
	n.loop.post(func(now float64) {
		n.table().AddRequest(now, scheduler.Request{ID: "a", ClientTimeLeft: 4, PromptTokens: 1000, MaxOutputTokens: 100}, 0)
		n.owned.requests["a"] = &activeRequest{id: "a", client: fake, attempts: map[int]attemptInFlight{},
			responseGrants: map[int]chan bool{}}
	})
	select {
	case <-fake.responded:
	case <-time.After(10 * time.Second):
		t.Fatal("got no final response within 10 s")
	}
	time.Sleep(50 * time.Millisecond)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	// The first attempt at a decode engine ends after connectTime, and the scheduler releases the state then.
	released := fake.releasedAt.Sub(fake.prefilledAt)
	if fake.releasedAt.IsZero() || released > connectTime+150*time.Millisecond {
		t.Fatalf("state was released %v after the prefill, want at most %v", released, connectTime+150*time.Millisecond)
	}
	if fake.nextAttemptAt.IsZero() {
		t.Fatal("got no attempt after the release, want one that starts once the release call has ended")
	}
}
