// Package endpoints decides which engine list a node believes, and when it asks for the next. Lists come late, twice,
// out of order, from servers that forgot, and now and then with most of the fleet missing. It does no I/O and reads no
// clock; times are in seconds.
//
// What is believed at once: that an engine drains, that one has come, started anew, moved or changed its role. What
// has to be confirmed: that a large part of a role has gone in one step, and that an engine which keeps coming and
// going is there to stay. Both errors are bounded: a node that waits sends for at most Confirm seconds to engines that
// have gone, which fail at once; a node that does not wait refuses everything on the word of one broken answer.
package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Options bound the distrust.
type Options struct {
	ShrinkShare  float64 // a list that lacks more than this share of a role's engines has to be confirmed,
	ConfirmAfter float64 // by a second answer, or by standing for so long
	FlapCount    int     // an engine that left so often
	FlapWindow   float64 // within this time
	FlapHold     float64 // must stay for this long to be believed ready; it drains until then
}

// DefaultOptions are starting values of ours.
var DefaultOptions = Options{ShrinkShare: 0.5, ConfirmAfter: 2, FlapCount: 3, FlapWindow: 30, FlapHold: 5}

// State is what a list says of an engine.
type State int

// States of a listed engine.
const (
	Ready State = iota
	Draining
)

// Entry is one engine in a list.
type Entry struct {
	ID, Address string
	Kind, Role  int
	Cell, Zone  int
	State       State
	Weight      float64
	BootTime    float64 // last start; 0 = long ago
}

// List is a list as a source gave it. Index orders the answers of one source; 0 = it has none.
type List struct {
	Index   uint64
	Entries []Entry
}

// Snapshot is what the node goes by.
type Snapshot struct {
	Entries     []Entry // in order of id
	Index       uint64  // of the answer that it rests on
	ConfirmedAt float64 // when it was last confirmed by a source
	Saved       bool    // it rests on what was saved by an earlier run alone
}

// Note is something for the operators: why a list was not believed as it came.
type Note struct{ Text string }

// known is what is remembered of an engine.
type known struct {
	Entry
	left     []float64 // when it left, lately
	there    bool
	returned float64 // when it last came back
	absent   float64 // since when answers lack it, while that is not believed; 0 = they do not
	lacking  int     // answers that lacked it since
}

// View holds what is believed. It is not safe for concurrent use.
type View struct {
	set     Options
	engines map[string]*known
	index   uint64
	since   float64
	heard   bool
	notes   []Note
	changed bool
}

// NewView returns a believer that knows of no engine.
func NewView(s Options) *View {
	return &View{set: s, engines: map[string]*known{}}
}

// Restore takes the list that an earlier run saved. It is believed until a source has answered, however old: an engine
// on it that has gone fails at once, and one that is missing is told of by the first answer. Starts are kept as they
// were, so that an engine which was cold is still cold.
func (b *View) Restore(now float64, saved []Entry) {
	if b.heard || len(b.engines) > 0 {
		return
	}
	for _, e := range b.unique(now, saved) {
		b.engines[e.ID] = &known{Entry: e, there: true, returned: now}
	}
	b.since, b.changed = now, true
}

// Apply takes an answer and tells whether the belief has changed. An answer older than what is believed is dropped,
// unless the source has begun anew (see Fell).
func (b *View) Apply(now float64, a List) bool {
	b.changed = false
	if a.Index > 0 && a.Index < b.index {
		b.note("list with index %d dropped, %d is believed", a.Index, b.index)
		return false
	}
	again := a.Index > 0 && a.Index == b.index && b.heard
	b.index, b.since = a.Index, now
	entries := b.unique(now, a.Entries)
	for _, e := range entries {
		b.see(now, e)
	}
	b.miss(now, entries, again)
	b.heard = true
	return b.changed
}

// IndexReset is told that a source's index went backwards: it was restored or replaced. Its answers count from the start
// again; what they lack has to be confirmed like any other shrinking.
func (b *View) IndexReset() {
	b.note("the source's index fell below %d; it is asked from the start", b.index)
	b.index = 0
}

// unique drops what stands twice. The newest start wins; where that does not settle it, nobody knows which is meant,
// and the engine gets no new work.
func (b *View) unique(now float64, entries []Entry) []Entry {
	byID := map[string]Entry{}
	for _, e := range entries {
		old, twice := byID[e.ID]
		switch {
		case !twice || e.BootTime > old.BootTime:
			byID[e.ID] = e
		case e.BootTime == old.BootTime && (e.Address != old.Address || e.Kind != old.Kind):
			b.note("engine %s stands twice, at %s and %s: it drains until the list is mended", e.ID, old.Address, e.Address)
			if e.Address < old.Address {
				old = e
			}
			old.State = Draining
			byID[e.ID] = old
		case e.BootTime == old.BootTime && e.State == Draining:
			byID[e.ID] = e
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
}

// see files an engine that an answer holds.
func (b *View) see(now float64, e Entry) {
	k := b.engines[e.ID]
	if k == nil {
		b.engines[e.ID] = &known{Entry: e, there: true, returned: now}
		b.changed = true
		return
	}
	if !k.there {
		k.there, k.returned, b.changed = true, now, true
		if e.BootTime <= k.BootTime { // it was away and tells no new start: whatever it had kept may be gone
			e.BootTime = now
		}
	} else if e.Address != k.Address || e.Kind != k.Kind {
		b.note("engine %s was %s, kind %d, and is %s, kind %d: it counts as newly started", e.ID, k.Address, k.Kind, e.Address, e.Kind)
		if e.BootTime <= k.BootTime {
			e.BootTime = now
		}
	} else {
		e.BootTime = max(e.BootTime, k.BootTime) // an older start is an older word
	}
	k.absent, k.lacking = 0, 0
	if k.Entry != e {
		k.Entry, b.changed = e, true
	}
}

// miss deals with the engines that an answer lacks.
func (b *View) miss(now float64, entries []Entry, again bool) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
	}
	doubt := b.doubtful(listed)
	for _, id := range b.ids() {
		k := b.engines[id]
		if !k.there || listed[id] {
			continue
		}
		if k.absent == 0 {
			k.absent = now
		}
		if !again {
			k.lacking++
		}
		if doubt[k.Role] && k.lacking < 2 && now < k.absent+b.set.ConfirmAfter {
			continue
		}
		b.leave(now, k)
	}
	for role, d := range doubt {
		if d && len(b.UnconfirmedRemovals()) > 0 {
			b.note("the list lacks more than %.0f%% of role %d at once: confirmed by a second one, or in %g s", 100*b.set.ShrinkShare, role, b.set.ConfirmAfter)
		}
	}
}

// doubtful tells for each role whether an answer lacks too much of it to be believed at once. A single engine is not
// doubted: it may well be the only one.
func (b *View) doubtful(listed map[string]bool) map[int]bool {
	all, gone := map[int]int{}, map[int]int{}
	for id, k := range b.engines {
		if k.there {
			all[k.Role]++
			if !listed[id] {
				gone[k.Role]++
			}
		}
	}
	doubt := map[int]bool{}
	for role, n := range gone {
		doubt[role] = n > 1 && float64(n) > b.set.ShrinkShare*float64(all[role])
	}
	return doubt
}

func (b *View) leave(now float64, k *known) {
	k.there, k.absent, k.lacking, b.changed = false, 0, 0, true
	k.left = append(k.left, now)
	k.left = k.left[max(0, len(k.left)-max(1, b.set.FlapCount)):]
}

// Tick is told the time and tells whether the belief has changed by it: a doubted absence has stood for long enough,
// or an engine that came and went has stayed. Next says when to call it.
func (b *View) Tick(now float64) bool {
	b.changed = false
	for _, id := range b.ids() {
		k := b.engines[id]
		switch {
		case k.there && k.absent > 0 && now >= k.absent+b.set.ConfirmAfter:
			b.leave(now, k)
		case k.there && len(k.left) >= b.set.FlapCount && now >= k.returned+b.set.FlapHold:
			k.left, b.changed = nil, true
		case !k.there && len(k.left) > 0 && now > k.left[len(k.left)-1]+10*b.set.FlapWindow:
			delete(b.engines, id) // long gone: forgotten
		}
	}
	return b.changed
}

// Next returns when Tick is due; ok is false where time alone changes nothing.
func (b *View) Next() (at float64, ok bool) {
	for _, k := range b.engines {
		due := 0.0
		switch {
		case k.there && k.absent > 0:
			due = k.absent + b.set.ConfirmAfter
		case k.there && len(k.left) >= b.set.FlapCount:
			due = k.returned + b.set.FlapHold
		case !k.there && len(k.left) > 0:
			due = k.left[len(k.left)-1] + 10*b.set.FlapWindow + 1
		default:
			continue
		}
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// flaps tells whether an engine has come and gone too often to be sent new work yet.
func (b *View) flaps(now float64, k *known) bool {
	return len(k.left) >= b.set.FlapCount && k.left[0] > k.returned-b.set.FlapWindow && now < k.returned+b.set.FlapHold
}

// Snapshot returns what the node goes by at a time.
func (b *View) Snapshot(now float64) Snapshot {
	out := Snapshot{Index: b.index, ConfirmedAt: b.since, Saved: !b.heard}
	for _, id := range b.ids() {
		k := b.engines[id]
		if !k.there {
			continue
		}
		e := k.Entry
		if b.flaps(now, k) {
			e.State = Draining
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}

// UnconfirmedRemovals lists the engines whose absence is not believed yet.
func (b *View) UnconfirmedRemovals() []string {
	var ids []string
	for _, id := range b.ids() {
		if k := b.engines[id]; k.there && k.absent > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Notes drains what is to be told to the operators.
func (b *View) Notes() []Note {
	n := b.notes
	b.notes = nil
	return n
}

func (b *View) ids() []string { return slices.Sorted(maps.Keys(b.engines)) }

func (b *View) note(format string, args ...any) {
	if len(b.notes) < 100 { // a broken source may give cause for any number
		b.notes = append(b.notes, Note{fmt.Sprintf(format, args...)})
	}
}
