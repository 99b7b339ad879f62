package scheduler

import (
	"fmt"
	"testing"
)

// fleetDay passes the same traffic to schedulers with fleets of different sizes.
type fleetDay struct {
	scheduler   *Scheduler
	engines     []Engine
	now         float64
	number      int // of requests so far
	streams     []outcomeAt
	evaluations int
	steps       int
	maxStep     int // largest number of evaluations in a step
	sends       int
	rejections  int
}

// outcomeAt is an event that the host reports at a later time.
type outcomeAt struct {
	at    float64
	event Event
}

// Traffic of a fleetDay.
const (
	fleetDayStep     = 0.005 // seconds
	fleetDayPrefill  = 0.05  // duration of a prefill in seconds
	fleetDayDecode   = 0.5   // duration of a stream in seconds
	fleetDaySessions = 200
)

// newFleetDay returns a day with a fleet of which half the engines prefill.
func newFleetDay(t testing.TB, engines int) *fleetDay {
	t.Helper()
	cfg := testConfig()
	cfg.NodeCount = engines / 10
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, 1
	sched, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	day := &fleetDay{scheduler: sched, now: 1}
	for i := range engines {
		day.engines = append(day.engines, testEngine(fmt.Sprintf("e%04d", i), i%2, i/2%4))
	}
	day.step(listOf(day.engines...))
	return day
}

// step passes events to the scheduler, and plans the outcomes of the attempts that it sends.
func (d *fleetDay) step(events ...Event) {
	var later []outcomeAt
	for _, planned := range d.streams {
		if planned.at <= d.now {
			events = append(events, planned.event)
		} else {
			later = append(later, planned)
		}
	}
	d.streams = later
	for _, action := range d.scheduler.Step(d.now, events) {
		switch action := action.(type) {
		case Send:
			d.sends++
			d.plan(action)
		case Reject:
			d.rejections++
		}
	}
	evaluations := d.scheduler.LastPass().Evaluations
	d.evaluations += evaluations
	d.maxStep = max(d.maxStep, evaluations)
	d.steps++
	d.now += fleetDayStep
}

func (d *fleetDay) plan(sent Send) {
	number := d.scheduler.requests[sent.ID].inFlight.number
	if d.scheduler.engines[sent.Engine].role == Prefill {
		prefilled := Outcome{ID: sent.ID, Attempt: number, Engine: sent.Engine, Status: Prefilled, Spent: fleetDayPrefill}
		d.streams = append(d.streams, outcomeAt{d.now + fleetDayPrefill, prefilled})
		return
	}
	first := FirstToken{ID: sent.ID, Attempt: number, Engine: sent.Engine, Spent: fleetDayPrefill}
	completed := Outcome{ID: sent.ID, Attempt: number, Engine: sent.Engine, Status: Completed, RequestEnded: true}
	d.streams = append(d.streams, outcomeAt{d.now + fleetDayPrefill, first}, outcomeAt{d.now + fleetDayDecode, completed})
}

// run passes requests at a rate to the scheduler for some seconds.
func (d *fleetDay) run(seconds, requestsPerSecond float64) {
	for end := d.now + seconds; d.now < end; {
		var events []Event
		for float64(d.number) < requestsPerSecond*d.now {
			req := testRequest(fmt.Sprint("q", d.number), d.number%3)
			req.Session = fmt.Sprint("s", d.number%fleetDaySessions)
			req.Prefix = fmt.Sprint("p", d.number%7)
			events = append(events, req)
			d.number++
		}
		d.step(events...)
	}
}

// restartHalf restarts every second pair of engines: they drain, are removed and come back in slow start, a second after one another.
func (d *fleetDay) restartHalf(requestsPerSecond float64) {
	for _, state := range []EngineState{EngineDraining, EngineRemoved, EngineReady} {
		update := EndpointUpdate{Form: UpdateIncremental}
		for i, engine := range d.engines {
			if i/2%2 == 0 {
				continue
			}
			engine.State = state
			if state == EngineReady {
				engine.BootTime = d.now
			}
			update.Engines = append(update.Engines, engine)
		}
		d.step(update)
		d.run(1, requestsPerSecond)
	}
}

const fleetDayRate = 160 // requests per second

// Guards against a decision pass whose cost grows with the number of engines: with thousands of engines of which half restart, the event
// loop stands still for seconds, and no request is answered at its deadline.
func TestWorkPerRequestDoesNotGrowWithFleet(t *testing.T) {
	const (
		usual     = 100 // engines
		maxGrowth = 1.4
	)
	work := func(engines int) int {
		day := newFleetDay(t, engines)
		day.run(4, fleetDayRate)
		day.restartHalf(fleetDayRate)
		day.run(3, fleetDayRate)
		if day.rejections*20 > day.number {
			t.Errorf("%d engines: %d of %d requests rejected, want at most one in twenty", engines, day.rejections, day.number)
		}
		t.Logf("%d engines: %d evaluations, at most %d in a step; %d requests, %d attempts, %d rejections", engines, day.evaluations,
			day.maxStep, day.number, day.sends, day.rejections)
		return day.evaluations
	}
	base := work(usual)
	for _, engines := range []int{800, 3200} {
		if got, limit := work(engines), maxGrowth*float64(base); float64(got) > limit {
			t.Errorf("%d engines: got %d evaluations, want at most %.0f, %g times those of %d engines", engines, got, limit,
				maxGrowth, usual)
		}
	}
}

// BenchmarkFleetDay measures a day with a restart of half of the engines, at three sizes of the fleet.
func BenchmarkFleetDay(b *testing.B) {
	for _, engines := range []int{100, 800, 3200} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			for range b.N {
				day := newFleetDay(b, engines)
				day.run(4, fleetDayRate)
				day.restartHalf(fleetDayRate)
				day.run(3, fleetDayRate)
			}
		})
	}
}
