package scenario

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Machine describes how close the machine was to its limits during a run. Nodes, engines, clients and the checker share the machine: if
// goroutines wake up late, all figures of the run reflect the machine and not the fleet.
type Machine struct {
	Cores           int     `json:"cores"`
	CPU             float64 `json:"cpu"`         // share of the cores that this process used
	WakeLatenessP50 float64 `json:"late_p50_s"`  // lateness of a sleeping goroutine's wake-up, median
	WakeLatenessP99 float64 `json:"late_p99_s"`  // 99th percentile
	WakeLatenessMax float64 `json:"late_most_s"` // maximum
}

// Limits above which the machine determines a run's results. Beyond them, goroutines wake up later than the slack of a rule, or nearly all
// cores are in use. Clients and engines are then late even if no node delays them.
const (
	maxLateness = 0.05 // at the 99th percentile (s)
	maxCPU      = 0.9  // share of the cores
)

// Saturated reports whether the machine limited the run's results.
func (m Machine) Saturated() bool { return m.WakeLatenessP99 > maxLateness || m.CPU > maxCPU }

// String returns the figures as the report prints them.
func (m Machine) String() string {
	s := fmt.Sprintf("machine: %.0f%% of %d cores, wake-ups late by %.1f ms at the median, %.0f ms at the 99th percentile, %.0f ms at most",
		100*m.CPU, m.Cores, 1000*m.WakeLatenessP50, 1000*m.WakeLatenessP99, 1000*m.WakeLatenessMax)
	if m.Saturated() {
		s += "\nTHE MACHINE WAS THE LIMIT, not the fleet: the figures above describe the machine"
	}
	return s
}

// meter measures the CPU usage and the lateness of wake-ups during a run.
type meter struct {
	startedAt  time.Time
	cpuAtStart time.Duration
	lateness   *hdrhistogram.Histogram // µs
	quit, done chan struct{}
}

// sampleInterval is the time between two wake-ups whose lateness is measured.
const sampleInterval = 5 * time.Millisecond

// maxSample is the greatest lateness that the histogram can record (µs).
const maxSample = 60_000_000

// startMeter starts the measurement. The caller must call stop, which ends its goroutine.
func startMeter() *meter {
	m := &meter{
		startedAt:  time.Now(),
		cpuAtStart: cpuTime(),
		lateness:   hdrhistogram.New(1, maxSample, 3),
		quit:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	go m.run()
	return m
}

func (m *meter) run() {
	defer close(m.done)
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for {
		wakeDue := time.Now().Add(sampleInterval)
		timer.Reset(time.Until(wakeDue))
		select {
		case <-m.quit:
			return
		case <-timer.C:
			m.lateness.RecordValue(min(maxSample, max(1, time.Since(wakeDue).Microseconds())))
		}
	}
}

// stop ends the measurement and returns its figures.
func (m *meter) stop() Machine {
	close(m.quit)
	<-m.done
	latenessAt := func(quantile float64) float64 { return float64(m.lateness.ValueAtQuantile(quantile)) / 1e6 }
	cores := runtime.GOMAXPROCS(0)
	return Machine{
		Cores:           cores,
		CPU:             (cpuTime() - m.cpuAtStart).Seconds() / time.Since(m.startedAt).Seconds() / float64(cores),
		WakeLatenessP50: latenessAt(50),
		WakeLatenessP99: latenessAt(99),
		WakeLatenessMax: float64(m.lateness.Max()) / 1e6,
	}
}

// cpuTime returns the user and system CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
