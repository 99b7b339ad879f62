package endpoints

import (
	"maps"
	"slices"
)

// Word is one engine as a list that counts as told names it.
type Word struct {
	Entry
	Gone bool // removed
}

// Told keeps a list of which every word counts from the moment it is sent: a node that went on sending to an engine which
// it was told drains would break a rule, however odd the list looks. So what takes away is believed at once, always; only
// what adds may be doubted, and that is done where an answer is older than one heard before. It is not safe for
// concurrent use.
type Told struct {
	version int64
	whole   bool // a whole list was heard, so that changes from version on are enough
	known   map[string]told
}

type told struct {
	Word
	at float64 // when it was last told
}

// keepGone is how long an engine that was removed is remembered (s), so that an old answer does not bring it back.
const keepGone = 120

// NewTold returns an empty list.
func NewTold() *Told { return &Told{known: map[string]told{}} }

// Version is the version to go on from; ok is false where the whole list is wanted. Versions may begin at 0.
func (t *Told) Version() (version int64, ok bool) { return t.version, t.whole }

// Hear takes an answer and returns what it changes, in order of id.
func (t *Told) Hear(now float64, version int64, full bool, words []Word) []Word {
	changes := map[string]Word{}
	old := t.whole && version < t.version
	for _, w := range words {
		k, known := t.known[w.ID]
		if old && known && takesAway(k.Word) && !takesAway(w) && w.Boot <= k.Boot {
			continue // it was told later that this start of it drains or is gone
		}
		if !known && w.Gone {
			continue
		}
		if !known || k.Word != w {
			changes[w.ID] = w
		}
		t.known[w.ID] = told{w, now}
	}
	if full {
		named := map[string]bool{}
		for _, w := range words {
			named[w.ID] = true
		}
		for id, k := range t.known {
			if !named[id] && !k.Gone {
				k.Gone, k.at = true, now
				t.known[id], changes[id] = k, k.Word
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

func takesAway(w Word) bool { return w.Gone || w.State != Ready }

// forget drops engines that were removed long ago.
func (t *Told) forget(now float64) {
	maps.DeleteFunc(t.known, func(_ string, k told) bool { return k.Gone && now > k.at+keepGone })
}

func ordered(ws map[string]Word) []Word {
	out := make([]Word, 0, len(ws))
	for _, id := range slices.Sorted(maps.Keys(ws)) {
		out = append(out, ws[id])
	}
	return out
}
