package scenario

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Machine tells how near the machine, not the fleet, was to its end during a day. Where wake-ups come late, every figure
// of the day is the machine's: nodes, engines, clients and the judge share it.
type Machine struct {
	Cores           int     `json:"cores"`
	CPU             float64 `json:"cpu"`         // share of the cores that this process used
	WakeLatenessP50 float64 `json:"late_p50_s"`  // by which a sleeping goroutine woke late
	WakeLatenessP99 float64 `json:"late_p99_s"`  //
	WakeLatenessMax float64 `json:"late_most_s"` //
}

// Limits of what counts as a machine that was the limit: with the 99th percentile of wake-ups late by more than a rule's
// slack, or nearly all cores in use, clients and engines are late by themselves.
const (
	lateMachine = 0.05 // s
	busyMachine = 0.9
)

// Limit tells whether the machine was the limit.
func (m Machine) Limit() bool { return m.WakeLatenessP99 > lateMachine || m.CPU > busyMachine }

func (m Machine) String() string {
	s := fmt.Sprintf("machine: %.0f%% of %d cores, wake-ups late by %.1f ms at the median, %.0f ms at the 99th percentile, %.0f ms at most",
		100*m.CPU, m.Cores, 1000*m.WakeLatenessP50, 1000*m.WakeLatenessP99, 1000*m.WakeLatenessMax)
	if m.Limit() {
		s += "\nTHE MACHINE WAS THE LIMIT, not the fleet: figures of service tell of it"
	}
	return s
}

// meter measures the machine while a day runs.
type meter struct {
	began      time.Time
	cpu        time.Duration
	late       *hdrhistogram.Histogram // µs
	quit, done chan struct{}
}

func startMeter() *meter {
	m := &meter{began: time.Now(), cpu: cpuTime(), late: hdrhistogram.New(1, 60_000_000, 3), quit: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

const meterEvery = 5 * time.Millisecond

func (m *meter) run() {
	defer close(m.done)
	t := time.NewTimer(meterEvery)
	defer t.Stop()
	for due := time.Now().Add(meterEvery); ; due = time.Now().Add(meterEvery) {
		t.Reset(time.Until(due))
		select {
		case <-m.quit:
			return
		case <-t.C:
			m.late.RecordValue(min(60_000_000, max(1, time.Since(due).Microseconds())))
		}
	}
}

// stop ends the measurement.
func (m *meter) stop() Machine {
	close(m.quit)
	<-m.done
	at := func(q float64) float64 { return float64(m.late.ValueAtQuantile(q)) / 1e6 }
	cores := runtime.GOMAXPROCS(0)
	return Machine{Cores: cores, CPU: (cpuTime() - m.cpu).Seconds() / time.Since(m.began).Seconds() / float64(cores),
		WakeLatenessP50: at(50), WakeLatenessP99: at(99), WakeLatenessMax: float64(m.late.Max()) / 1e6}
}

// cpuTime is what this process has used so far, in user and system time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
