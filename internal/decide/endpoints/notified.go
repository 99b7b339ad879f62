package endpoints

import (
	"maps"
	"slices"
)

// Update is one engine as a list that counts as told names it.
type Update struct {
	Entry
	Removed bool // removed
}

// NotifiedView keeps a list of which every word counts from the moment it is sent: a node that went on sending to an engine which
// it was told drains would break a rule, however odd the list looks. So what takes away is believed at once, always; only
// what adds may be doubted, and that is done where an answer is older than one heard before. It is not safe for
// concurrent use.
type NotifiedView struct {
	version   int64
	whole     bool // a whole list was heard, so that changes from version on are enough
	endpoints map[string]told
}

type told struct {
	Update
	at float64 // when it was last told
}

// removedRetention is how long an engine that was removed is remembered (s), so that an old answer does not bring it back.
const removedRetention = 120

// NewNotifiedView returns an empty list.
func NewNotifiedView() *NotifiedView { return &NotifiedView{endpoints: map[string]told{}} }

// Version is the version to go on from; ok is false where the whole list is wanted. Versions may begin at 0.
func (t *NotifiedView) Version() (version int64, ok bool) { return t.version, t.whole }

// Apply takes an answer and returns what it changes, in order of id.
func (t *NotifiedView) Apply(now float64, version int64, full bool, words []Update) []Update {
	changes := map[string]Update{}
	old := t.whole && version < t.version
	for _, w := range words {
		k, known := t.endpoints[w.ID]
		if old && known && stopsNewWork(k.Update) && !stopsNewWork(w) && w.BootTime <= k.BootTime {
			continue // it was told later that this start of it drains or is gone
		}
		if !known && w.Removed {
			continue
		}
		if !known || k.Update != w {
			changes[w.ID] = w
		}
		t.endpoints[w.ID] = told{w, now}
	}
	if full {
		named := map[string]bool{}
		for _, w := range words {
			named[w.ID] = true
		}
		for id, k := range t.endpoints {
			if !named[id] && !k.Removed {
				k.Removed, k.at = true, now
				t.endpoints[id], changes[id] = k, k.Update
			}
		}
	}
	t.forget(now)
	switch {
	case full: // an older one too: the source began anew
		t.version, t.whole = version, true
	case old: // changes from the past: what lies between is not known
		t.whole = false
	default:
		t.version = version
	}
	return ordered(changes)
}

func stopsNewWork(w Update) bool { return w.Removed || w.State != Ready }

// forget drops engines that were removed long ago.
func (t *NotifiedView) forget(now float64) {
	maps.DeleteFunc(t.endpoints, func(_ string, k told) bool { return k.Removed && now > k.at+removedRetention })
}

func ordered(ws map[string]Update) []Update {
	out := make([]Update, 0, len(ws))
	for _, id := range slices.Sorted(maps.Keys(ws)) {
		out = append(out, ws[id])
	}
	return out
}
