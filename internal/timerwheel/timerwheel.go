// Package timerwheel implements a hierarchical timing wheel for many timers (Varghese and Lauck, "Hashed and Hierarchical Timing
// Wheels", 1987). It reads no clock and starts no goroutine: its user advances it.
//
// Adding and canceling take constant time. A timer fires in the first Advance at or after its time, never before it, and at
// most one resolution later than in a sorted list.
package timerwheel

import (
	"math"
	"math/bits"
)

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits // one for each bit of a 64-bit word, which is set if the slot is in use
	slotMask      = slotsPerLevel - 1
	levels        = 6 // 64^6 ticks are over two years if a tick is a millisecond
)

// maxSpan is the maximum distance from the current tick at which a timer is placed, in ticks. A timer that is due later is placed at that
// distance, and again when its slot is reached. One slot of the coarsest level stays free: no timer may be a full turn ahead.
const maxSpan = 1<<(levels*slotBits) - 1<<((levels-1)*slotBits) - 1

// firedLevel is the level of a timer that is in no slot: it has fired or was canceled.
const firedLevel = -1

// Timer is one timer of a Wheel. Only the wheel uses its fields.
type Timer[T any] struct {
	next, prev *Timer[T]
	due        int64 // tick at which it fires
	level      int8
	slot       uint8
	value      T
}

// Wheel holds timers, each with a value. It is not safe for concurrent use.
type Wheel[T any] struct {
	resolution  float64 // seconds per tick
	currentTick int64   // all timers due up to it have fired
	usedSlots   [levels]uint64
	heads       [levels][slotsPerLevel]*Timer[T]
	count       int
}

// New returns an empty wheel whose time is now (s). It panics unless resolution (s) is above zero.
func New[T any](now, resolution float64) *Wheel[T] {
	if !(resolution > 0) { // the comparison is false for a NaN too
		panic("timerwheel: resolution must be above zero")
	}
	return &Wheel[T]{resolution: resolution, currentTick: int64(math.Floor(now / resolution))}
}

// Len returns the number of timers that have neither fired nor been canceled.
func (w *Wheel[T]) Len() int { return w.count }

// Add adds a timer that fires at the given time (s). A time in the past fires at the next Advance that moves the wheel's time.
func (w *Wheel[T]) Add(at float64, value T) *Timer[T] {
	t := &Timer[T]{value: value}
	t.due = max(w.currentTick+1, int64(math.Ceil(at/w.resolution)))
	w.place(t)
	w.count++
	return t
}

// Cancel removes a timer and reports whether it was pending. It returns false for nil and for a timer that has fired or was canceled.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t == nil || t.level == firedLevel {
		return false
	}
	w.remove(t)
	return true
}

// Advance moves the wheel's time to now (s) and calls fire for each timer that is due, in order of time. Timers of the same tick
// fire in no particular order. fire may add and cancel timers.
func (w *Wheel[T]) Advance(now float64, fire func(T)) {
	target := int64(math.Floor(now / w.resolution))
	for w.currentTick < target {
		next := w.nextTick()
		if next > target {
			w.currentTick = target
			w.cascade()
			return
		}
		w.currentTick = next
		w.cascade()
		w.fireDue(fire)
	}
}

// fireDue fires the timers of the current tick.
func (w *Wheel[T]) fireDue(fire func(T)) {
	head := &w.heads[0][w.currentTick&slotMask]
	for t := *head; t != nil && t.due <= w.currentTick; t = *head {
		w.remove(t)
		fire(t.value)
	}
}

// Next returns the time (s) at which the next Advance is due. It is the time of the earliest timer, or an earlier time at which the
// timers of a coarse slot must move to finer levels. ok is false if there is no timer.
func (w *Wheel[T]) Next() (at float64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return float64(w.nextTick()) * w.resolution, true
}

// nextTick returns the first tick after the current one at which a used slot of any level is reached.
func (w *Wheel[T]) nextTick() int64 {
	earliest := int64(math.MaxInt64)
	for level := range levels {
		if w.usedSlots[level] == 0 {
			continue
		}
		current := w.currentTick >> shift(level)
		rotated := bits.RotateLeft64(w.usedSlots[level], -int((current+1)&slotMask)) // bit 0 is the slot after the current one
		slot := current + 1 + int64(bits.TrailingZeros64(rotated))
		earliest = min(earliest, slot<<shift(level))
	}
	return earliest
}

// shift returns the number of low bits of a tick that do not affect its slot at a level.
func shift(level int) uint { return uint(level * slotBits) }

// cascade moves the timers of each coarse slot that has been reached to slots of finer levels.
func (w *Wheel[T]) cascade() {
	for level := levels - 1; level > 0; level-- {
		current := w.currentTick >> shift(level)
		for t := w.heads[level][current&slotMask]; t != nil; {
			next := t.next
			if t.due>>shift(level) <= current {
				w.unlink(t)
				w.place(t)
			}
			t = next
		}
	}
}

// place inserts a timer into a slot of the finest level that covers its time.
func (w *Wheel[T]) place(t *Timer[T]) {
	due := min(t.due, w.currentTick+maxSpan)
	level := 0
	for level < levels-1 && due>>shift(level)-w.currentTick>>shift(level) >= slotsPerLevel {
		level++
	}
	slot := uint8(due >> shift(level) & slotMask)
	t.level = int8(level)
	t.slot = slot
	t.prev = nil
	t.next = w.heads[level][slot]
	if t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.usedSlots[level] |= 1 << slot
}

// remove removes a timer from the wheel and marks it as fired or canceled.
func (w *Wheel[T]) remove(t *Timer[T]) {
	w.unlink(t)
	t.level = firedLevel
	w.count--
}

// unlink removes a timer from its slot.
func (w *Wheel[T]) unlink(t *Timer[T]) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.heads[t.level][t.slot] = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	if w.heads[t.level][t.slot] == nil {
		w.usedSlots[t.level] &^= 1 << t.slot
	}
	t.next = nil
	t.prev = nil
}
