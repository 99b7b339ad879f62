package timerwheel

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const resolution = 0.001 // s

// listedTimer is the entry of the reference list for one timer of the wheel.
type listedTimer struct {
	at    float64
	timer *Timer[int]
	ended bool // it has fired or was canceled
}

// wheelMachine applies random operations to a wheel and to a plain list as its reference, and compares the two.
type wheelMachine struct {
	wheel  *Wheel[int] // its values are indexes of timers
	timers []listedTimer
	now    float64
}

func (m *wheelMachine) add(t *rapid.T) {
	span := rapid.SampledFrom([]float64{0.01, 1, 100, 1e5, 1e7}).Draw(t, "span")
	at := m.now + rapid.Float64Range(-0.1, 1).Draw(t, "part")*span
	timer := m.wheel.Add(at, len(m.timers))
	m.timers = append(m.timers, listedTimer{at: max(at, m.now), timer: timer}) // a time in the past fires at the next tick
}

func (m *wheelMachine) cancel(t *rapid.T) {
	if len(m.timers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.timers)-1).Draw(t, "which")
	if got := m.wheel.Cancel(m.timers[i].timer); got == m.timers[i].ended {
		t.Fatalf("cancel of timer %d: got %v, ended %v", i, got, m.timers[i].ended)
	}
	m.timers[i].ended = true
}

func (m *wheelMachine) advance(t *rapid.T) {
	if next, ok := m.wheel.Next(); ok && rapid.Bool().Draw(t, "to next") {
		m.checkNext(t, next)
		m.now = max(m.now, next)
	} else {
		m.now += rapid.SampledFrom([]float64{0.0005, 0.02, 3, 1e4}).Draw(t, "pass")
	}
	m.wheel.Advance(m.now, func(i int) {
		timer := &m.timers[i]
		if timer.ended || timer.at > m.now+1e-6 {
			t.Fatalf("timer %d at %.6f fired at %.6f, ended %v", i, timer.at, m.now, timer.ended)
		}
		timer.ended = true
	})
	for i, timer := range m.timers {
		if !timer.ended && timer.at < m.now-2*resolution {
			t.Fatalf("timer %d at %.6f has not fired at %.6f", i, timer.at, m.now)
		}
	}
}

// checkNext checks that no timer is due before the time that Next returns.
func (m *wheelMachine) checkNext(t *rapid.T, next float64) {
	for i, timer := range m.timers {
		if !timer.ended && timer.at > m.now+resolution && next > timer.at+2*resolution {
			t.Fatalf("Next %.6f is after timer %d at %.6f", next, i, timer.at)
		}
	}
}

func (m *wheelMachine) checkLen(t *rapid.T) {
	waiting := 0
	for _, timer := range m.timers {
		if !timer.ended {
			waiting++
		}
	}
	if got := m.wheel.Len(); got != waiting {
		t.Fatalf("Len %d, want %d", got, waiting)
	}
}

// Compared with the reference list, every timer fires once, in the first Advance at or after its tick, never early, and never after it was
// canceled.
func TestWheelMatchesListOfTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e6).Draw(t, "start")
		m := &wheelMachine{wheel: New[int](now, resolution), now: now}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				m.add(t)
			case 2:
				m.cancel(t)
			case 3:
				m.advance(t)
			}
		}
		m.checkLen(t)
	})
}

func TestAddAndCancelWhileFiring(t *testing.T) {
	w := New[string](0, 0.001)
	var got []string
	b := w.Add(0.020, "b")
	w.Add(0.010, "a")
	w.Advance(0.015, func(s string) {
		got = append(got, s)
		w.Cancel(b)
		if s == "a" {
			w.Add(0.001, "late") // in the past: it fires at the next tick
		}
	})
	w.Advance(1, func(s string) { got = append(got, s) })
	if len(got) != 2 || got[0] != "a" || got[1] != "late" {
		t.Fatalf("fired %v", got)
	}
}

// waitingTimers is the number of pending timers during a benchmark.
const waitingTimers = 100_000

func delays() []float64 {
	r := rand.New(rand.NewPCG(1, 2))
	xs := make([]float64, 1<<16)
	for i := range xs {
		xs[i] = 0.05 + 20*r.Float64()
	}
	return xs
}

// Each operation of these benchmarks adds one timer and cancels another while 100,000 are pending. Deadlines of requests are such timers.
func BenchmarkWheel100k(b *testing.B) {
	ds, w := delays(), New[int](0, 0.001)
	ring := make([]*Timer[int], waitingTimers)
	for i := range ring {
		ring[i] = w.Add(ds[i%len(ds)], i)
	}
	now := 0.0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1e-6
		k := i % waitingTimers
		w.Cancel(ring[k])
		ring[k] = w.Add(now+ds[i%len(ds)], k)
		if i%1000 == 0 {
			w.Advance(now, func(int) {})
		}
	}
}

func BenchmarkAfterFunc100k(b *testing.B) {
	ds := delays()
	ring := make([]*time.Timer, waitingTimers)
	start := func(i int) *time.Timer {
		return time.AfterFunc(time.Duration((5+ds[i%len(ds)])*float64(time.Second)), func() {})
	}
	for i := range ring {
		ring[i] = start(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		k := i % waitingTimers
		ring[k].Stop()
		ring[k] = start(i)
	}
	b.StopTimer()
	for _, t := range ring {
		t.Stop()
	}
}

type heapTimer struct {
	at    float64
	index int
}
type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)        { t := x.(*heapTimer); t.index = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

func BenchmarkBinaryHeap100k(b *testing.B) {
	ds, h := delays(), timerHeap{}
	ring := make([]*heapTimer, waitingTimers)
	for i := range ring {
		ring[i] = &heapTimer{at: ds[i%len(ds)]}
		heap.Push(&h, ring[i])
	}
	now := 0.0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1e-6
		k := i % waitingTimers
		heap.Remove(&h, ring[k].index)
		ring[k] = &heapTimer{at: now + ds[i%len(ds)]}
		heap.Push(&h, ring[k])
	}
}
