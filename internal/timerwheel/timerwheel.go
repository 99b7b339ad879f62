// Package timerwheel keeps many timers in one hierarchical timing wheel (Varghese and Lauck, "Hashed and
// Hierarchical Timing Wheels", 1987). It reads no clock and starts no goroutine: the owner passes the time.
//
// Adding and cancelling take constant time. A timer fires in the first Advance at or after its time, never
// before it, and at most one resolution later than a sorted list would have it.
package timerwheel

import (
	"math"
	"math/bits"
)

const (
	slotBits = 6
	slots    = 1 << slotBits // of a level; a word of bits tells which are in use
	levels   = 6             // 64^6 ticks: over two years at a millisecond
)

// Timer is one entry of a Wheel. Its fields belong to the wheel.
type Timer[T any] struct {
	next, prev *Timer[T]
	due        int64 // tick in which it fires
	level      int8
	slot       uint8
	value      T
}

// Wheel holds timers with a value each. It is not safe for concurrent use.
type Wheel[T any] struct {
	resolution float64 // s a tick
	tick       int64   // all timers due up to here have fired
	used       [levels]uint64
	heads      [levels][slots]*Timer[T]
	n          int
}

// New returns an empty wheel whose clock stands at now (s), with a resolution in seconds above zero.
func New[T any](now, resolution float64) *Wheel[T] {
	if !(resolution > 0) {
		panic("wheel: resolution must be above zero")
	}
	w := &Wheel[T]{resolution: resolution}
	w.tick = int64(math.Floor(now / resolution))
	return w
}

// Len returns the number of timers that wait.
func (w *Wheel[T]) Len() int { return w.n }

// Add makes a timer that fires at a time (s). One in the past fires at the next Advance that moves the clock.
func (w *Wheel[T]) Add(at float64, value T) *Timer[T] {
	t := &Timer[T]{value: value}
	t.due = max(w.tick+1, int64(math.Ceil(at/w.resolution)))
	w.put(t)
	w.n++
	return t
}

// Cancel takes a timer out and tells whether it was still waiting.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t == nil || t.level < 0 {
		return false
	}
	w.take(t)
	t.level = -1
	w.n--
	return true
}

// Advance moves the clock to now (s) and calls fire for each timer that has come due, in order of time; those
// of one tick fire in no particular order. fire may add and cancel timers.
func (w *Wheel[T]) Advance(now float64, fire func(T)) {
	target := int64(math.Floor(now / w.resolution))
	for w.tick < target {
		next := w.nextTick()
		if next > target {
			w.tick = target
			w.cascade()
			return
		}
		w.tick = next
		w.cascade()
		slot := int(w.tick & (slots - 1))
		for t := w.heads[0][slot]; t != nil && t.due <= w.tick; t = w.heads[0][slot] {
			w.take(t)
			t.level = -1
			w.n--
			fire(t.value)
		}
	}
}

// Next returns the time (s) of the next look that is needed: that of the earliest timer, or of the moment at
// which a coarse slot has to be spread out, which is never later. ok is false where no timer waits.
func (w *Wheel[T]) Next() (at float64, ok bool) {
	if w.n == 0 {
		return 0, false
	}
	return float64(w.nextTick()) * w.resolution, true
}

// nextTick is the first tick after the present one at which a slot of any level comes up.
func (w *Wheel[T]) nextTick() int64 {
	best := int64(math.MaxInt64)
	for level := range levels {
		if w.used[level] == 0 {
			continue
		}
		shift := uint(level * slotBits)
		at := w.tick >> shift
		// Rotate so that the slot after the present one is bit 0.
		turned := bits.RotateLeft64(w.used[level], -int((at+1)&(slots-1)))
		best = min(best, (at+1+int64(bits.TrailingZeros64(turned)))<<shift)
	}
	return best
}

// cascade spreads the coarse slots that have come up over the finer levels.
func (w *Wheel[T]) cascade() {
	for level := levels - 1; level > 0; level-- {
		slot := int(w.tick >> uint(level*slotBits) & (slots - 1))
		for t := w.heads[level][slot]; t != nil; {
			next := t.next
			if t.due>>uint(level*slotBits) <= w.tick>>uint(level*slotBits) {
				w.take(t)
				w.put(t)
			}
			t = next
		}
	}
}

// put files a timer on the finest level whose span reaches its time.
func (w *Wheel[T]) put(t *Timer[T]) {
	due := min(t.due, w.tick+1<<(levels*slotBits)-1<<((levels-1)*slotBits)-1)
	level := 0
	for level < levels-1 && due>>uint(level*slotBits)-w.tick>>uint(level*slotBits) >= slots {
		level++
	}
	slot := int(due >> uint(level*slotBits) & (slots - 1))
	t.level, t.slot = int8(level), uint8(slot)
	t.prev, t.next = nil, w.heads[level][slot]
	if t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.used[level] |= 1 << uint(slot)
}

func (w *Wheel[T]) take(t *Timer[T]) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.heads[t.level][t.slot] = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if w.heads[t.level][t.slot] == nil {
		w.used[t.level] &^= 1 << uint(t.slot)
	}
	t.next, t.prev = nil, nil
}
