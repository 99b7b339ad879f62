package scenario

import "cmp"

// override changes values of the run and returns a function that restores them. Both run with r.mu locked.
func (r *run) override(change, restore func()) (end func()) {
	locked := func(f func()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}
	locked(change)
	return func() { locked(restore) }
}

// burst multiplies the session rate by Size.
func (r *run) burst(f Fault) func() {
	factor := cmp.Or(f.Size, 2)
	return r.override(func() { r.loadFactor *= factor }, func() { r.loadFactor /= factor })
}

// lengthenPrompts multiplies the size of a share (Extra) of a class's turns by a factor (Size).
func (r *run) lengthenPrompts(f Fault) func() {
	class := cmp.Or(f.Class, r.script.Classes[0].Name)
	tail := heavyTail{factor: cmp.Or(f.Size, 10), share: cmp.Or(f.Extra, 0.02)}
	return r.override(func() { r.heavyTails[class] = tail }, func() { delete(r.heavyTails, class) })
}

// hotKey makes a share (Size) of the sessions begin with the same new prefix.
func (r *run) hotKey(f Fault) func() {
	return r.override(
		func() {
			r.hotShare = cmp.Or(f.Size, 0.2)
			r.hotSeed = uint64(f.At*1000) + 77
		},
		func() { r.hotShare = 0 })
}

// makeImpatient makes clients wait only impatientPatienceShare of their patience for a share (Size) of the requests.
func (r *run) makeImpatient(f Fault) func() {
	return r.override(func() { r.impatientShare = cmp.Or(f.Size, 0.3) }, func() { r.impatientShare = 0 })
}

// delayList delays the endpoint list by Size additional seconds.
func (r *run) delayList(f Fault) func() {
	delay := cmp.Or(f.Size, 3)
	return r.override(func() { r.extraListDelay += delay }, func() { r.extraListDelay -= delay })
}

// delayListOfOddNodes delays the endpoint list of every second node by Size additional seconds.
func (r *run) delayListOfOddNodes(f Fault) func() {
	delay := cmp.Or(f.Size, 10)
	return r.override(func() { r.extraDelayOfOddNodes += delay }, func() { r.extraDelayOfOddNodes -= delay })
}
