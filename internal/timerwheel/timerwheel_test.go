package timerwheel

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Against a plain list: every timer fires once, not early, in the first Advance at or after its tick, and
// never after it was cancelled.
func TestWheelMatchesListOfTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e6).Draw(t, "start")
		const res = 0.001
		w := New[int](now, res)
		type plain struct {
			at    float64
			timer *Timer[int]
			ended bool
		}
		var all []plain
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				span := rapid.SampledFrom([]float64{0.01, 1, 100, 1e5, 1e7}).Draw(t, "span")
				at := now + rapid.Float64Range(-0.1, 1).Draw(t, "part")*span
				timer := w.Add(at, len(all))
				all = append(all, plain{at: max(at, now), timer: timer}) // the past fires at the next tick
			case 2:
				if len(all) > 0 {
					i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
					if got := w.Cancel(all[i].timer); got == all[i].ended {
						t.Fatalf("cancel of timer %d: %v, ended %v", i, got, all[i].ended)
					}
					all[i].ended = true
				}
			case 3:
				if next, ok := w.Next(); ok && rapid.Bool().Draw(t, "to next") {
					for i := range all {
						if !all[i].ended && all[i].at > now+res && next > all[i].at+2*res {
							t.Fatalf("Next %.6f is after timer %d at %.6f", next, i, all[i].at)
						}
					}
					now = max(now, next)
				} else {
					now += rapid.SampledFrom([]float64{0.0005, 0.02, 3, 1e4}).Draw(t, "pass")
				}
				w.Advance(now, func(i int) {
					if all[i].ended || all[i].at > now+1e-6 {
						t.Fatalf("timer %d at %.6f fired at %.6f, ended %v", i, all[i].at, now, all[i].ended)
					}
					all[i].ended = true
				})
				for i := range all {
					if !all[i].ended && all[i].at < now-2*res {
						t.Fatalf("timer %d at %.6f has not fired at %.6f", i, all[i].at, now)
					}
				}
			}
		}
		left := 0
		for i := range all {
			if !all[i].ended {
				left++
			}
		}
		if w.Len() != left {
			t.Fatalf("Len %d, want %d", w.Len(), left)
		}
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
			w.Add(0.001, "late") // in the past: at the next tick
		}
	})
	w.Advance(1, func(s string) { got = append(got, s) })
	if len(got) != 2 || got[0] != "a" || got[1] != "late" {
		t.Fatalf("fired %v", got)
	}
}

const many = 100_000

func delays() []float64 {
	r := rand.New(rand.NewPCG(1, 2))
	xs := make([]float64, 1<<16)
	for i := range xs {
		xs[i] = 0.05 + 20*r.Float64()
	}
	return xs
}

// Each operation of these benchmarks adds one timer and cancels another, with 100,000 waiting: what a request
// does to its deadline.
func BenchmarkWheel100k(b *testing.B) {
	ds, w := delays(), New[int](0, 0.001)
	ring := make([]*Timer[int], many)
	for i := range ring {
		ring[i] = w.Add(ds[i%len(ds)], i)
	}
	now := 0.0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1e-6
		k := i % many
		w.Cancel(ring[k])
		ring[k] = w.Add(now+ds[i%len(ds)], k)
		if i%1000 == 0 {
			w.Advance(now, func(int) {})
		}
	}
}

func BenchmarkAfterFunc100k(b *testing.B) {
	ds := delays()
	ring := make([]*time.Timer, many)
	start := func(i int) *time.Timer {
		return time.AfterFunc(time.Duration((5+ds[i%len(ds)])*float64(time.Second)), func() {})
	}
	for i := range ring {
		ring[i] = start(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		k := i % many
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
	ring := make([]*heapTimer, many)
	for i := range ring {
		ring[i] = &heapTimer{at: ds[i%len(ds)]}
		heap.Push(&h, ring[i])
	}
	now := 0.0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 1e-6
		k := i % many
		heap.Remove(&h, ring[k].index)
		ring[k] = &heapTimer{at: now + ds[i%len(ds)]}
		heap.Push(&h, ring[k])
	}
}
