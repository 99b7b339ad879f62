package node

import (
	"testing"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/requesttable"
	"dillroute/scheduler"
)

// recordingHost records the commands of the request table.
type recordingHost struct {
	commands []requesttable.Command
}

func (h *recordingHost) executeCommand(_ float64, command requesttable.Command) {
	h.commands = append(h.commands, command)
}

func (h *recordingHost) executeAction(scheduler.Action) {}

func (h *recordingHost) schedulerFailed(err error) { panic(err) }

func (h *recordingHost) observeLag(float64, float64) {}

func (h *recordingHost) observeStep(schedulerStep) {}

// newRecordedLoop returns an event loop with one prefill engine and one decode engine, and the host that records its commands.
func newRecordedLoop(t *testing.T) (*eventLoop, *recordingHost) {
	t.Helper()
	class := scheduler.Class{FirstTokenObjective: 1, ClientTimeout: 4, OutputTokenObjective: 0.06, PriorityWeight: 1, LateValue: 0.3}
	config := scheduler.Config{
		NodeCount: 1,
		ZoneCount: 1,
		Tick:      0.002,
		Classes:   []scheduler.Class{class},
		Kinds:     []scheduler.Kind{{Role: scheduler.Prefill, Memory: 1e5}, {Role: scheduler.Decode, Memory: 1e5}},
		Tenants:   []scheduler.Tenant{{}},
		Limits:    scheduler.Limits{MaxAttempts: 4, Cancel: true},
		Rules: scheduler.Rules{SlowStartShare: 0.25, SlowStartDuration: 10, OverloadMultiple: 4, SlowStartWindow: 2,
			StateReleaseLimit: 1, PollInterval: 10, DrainGrace: 0.25, AnswerSlack: 0.008},
	}
	sched, err := scheduler.New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	table := requesttable.New(requesttable.Config{
		Classes:           config.Classes,
		MaxOpenRequests:   10,
		MaxAttempts:       config.Limits.MaxAttempts,
		ResponseSlack:     0.05,
		DrainGrace:        0.25,
		StateReleaseLimit: 1,
	}, config.Kinds)
	host := &recordingHost{}
	loop := newEventLoop(eventLoopOptions{
		clock:        clock.New(),
		scheduler:    sched,
		table:        table,
		tick:         config.Tick,
		host:         host,
		lagObserver:  host,
		stepObserver: host,
	})
	loop.post(func(now float64) {
		table.UpdateEndpoints(now, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{
			{ID: "r0", Kind: 0, Weight: 1}, {ID: "w0", Kind: 1, Weight: 1},
		}})
	})
	loop.runOnce(time.NewTimer(time.Hour))
	return loop, host
}

// Guards against attempts that are begun after their client's time, because the scheduler is called with the time at which the event loop
// took its tasks. A task before the step, such as the update of a list of thousands of engines, may take long.
func TestSchedulerIsCalledWithTheTimeAfterLongTasks(t *testing.T) {
	for _, long := range []bool{false, true} {
		loop, host := newRecordedLoop(t)
		time.Sleep(20 * time.Millisecond) // the next step is due at once
		loop.post(func(now float64) {
			request := scheduler.Request{ID: "a", ClientTimeLeft: 0.4, PromptTokens: 20, MaxOutputTokens: 10}
			if _, ok := loop.owned.table.AddRequest(now, request, 0); !ok {
				t.Error("request rejected")
			}
			if long {
				time.Sleep(450 * time.Millisecond)
			}
		})
		loop.runOnce(time.NewTimer(time.Hour))
		started := 0
		for _, command := range host.commands {
			if _, ok := command.(requesttable.StartAttempt); ok {
				started++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[long]; started != want {
			t.Errorf("task that takes longer than the client waits is %v: got %d attempts, want %d", long, started, want)
		}
	}
}
