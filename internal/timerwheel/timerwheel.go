// Package timerwheel keeps many timers in one hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing
// Wheels", 1987). It reads no clock and starts no goroutine: the owner advances it.
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
	slotsPerLevel = 1 << slotBits // one bit of a word each, which tells whether the slot is in use
	slotMask      = slotsPerLevel - 1
	levels        = 6 // 64^6 ticks: over two years at a millisecond
)

// maxSpan is the longest time ahead for which a timer is placed (ticks); a later one is placed there and moved on when its slot
// comes up. It leaves one slot of the coarsest level free, so that no timer is placed a full turn ahead.
const maxSpan = 1<<(levels*slotBits) - 1<<((levels-1)*slotBits) - 1

// firedLevel is the level of a timer that is in no slot: it has fired or was canceled.
const firedLevel = -1

// Timer is one timer of a Wheel. Its fields belong to the wheel.
type Timer[T any] struct {
	next, prev *Timer[T]
	due        int64 // tick in which it fires
	level      int8
	slot       uint8
	value      T
}

// Wheel holds timers with a value each. It is not safe for concurrent use.
type Wheel[T any] struct {
	resolution  float64 // seconds per tick
	currentTick int64   // all timers due up to it have fired
	usedSlots   [levels]uint64
	heads       [levels][slotsPerLevel]*Timer[T]
	count       int
}

// New returns an empty wheel whose clock shows now (s), with a resolution in seconds, which must be above zero.
func New[T any](now, resolution float64) *Wheel[T] {
	if !(resolution > 0) { // the comparison is false for a NaN too
		panic("timerwheel: resolution must be above zero")
	}
	return &Wheel[T]{resolution: resolution, currentTick: int64(math.Floor(now / resolution))}
}

// Len returns the number of timers that have not fired.
func (w *Wheel[T]) Len() int { return w.count }

// Add returns a new timer that fires at a time (s). One in the past fires at the next Advance that moves the clock.
func (w *Wheel[T]) Add(at float64, value T) *Timer[T] {
	t := &Timer[T]{value: value}
	t.due = max(w.currentTick+1, int64(math.Ceil(at/w.resolution)))
	w.place(t)
	w.count++
	return t
}

// Cancel removes a timer and tells whether it had not fired yet. A nil timer has.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t == nil || t.level == firedLevel {
		return false
	}
	w.remove(t)
	return true
}

// Advance moves the clock to now (s) and calls fire for each timer that has come due, in order of time; those of one tick fire
// in no particular order. fire may add and cancel timers.
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

// Next returns the time (s) at which the next Advance is due: that of the earliest timer, or of the moment at which a coarse
// slot has to be spread over finer ones, which is never later. ok is false where there is no timer.
func (w *Wheel[T]) Next() (at float64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return float64(w.nextTick()) * w.resolution, true
}

// nextTick returns the first tick after the current one at which a used slot of any level comes up.
func (w *Wheel[T]) nextTick() int64 {
	earliest := int64(math.MaxInt64)
	for level := range levels {
		if w.usedSlots[level] == 0 {
			continue
		}
		current := w.currentTick >> shift(level)
		fromNext := bits.RotateLeft64(w.usedSlots[level], -int((current+1)&slotMask)) // bit 0 is the slot after the current one
		turns := current + 1 + int64(bits.TrailingZeros64(fromNext))
		earliest = min(earliest, turns<<shift(level))
	}
	return earliest
}

// shift returns the number of bits of a tick below a level's slot.
func shift(level int) uint { return uint(level * slotBits) }

// cascade spreads the coarse slots that have come up over the finer levels.
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

// place puts a timer into a slot of the finest level whose span reaches its time.
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

// remove takes a timer out of the wheel for good.
func (w *Wheel[T]) remove(t *Timer[T]) {
	w.unlink(t)
	t.level = firedLevel
	w.count--
}

// unlink takes a timer out of its slot.
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
