package requesttable

import (
	"fmt"
	"maps"
	"slices"
)

func sortedKeys(m map[string]*requestRecord) []string { return slices.Sorted(maps.Keys(m)) }

// Audit checks the book against itself and returns the first thing that cannot be; tests and the node's own
// housekeeping call it. It takes time in proportion to the entries.
func (l *Table) Audit() error {
	live := 0
	for _, id := range sortedKeys(l.records) {
		e := l.records[id]
		out, streaming := 0, 0
		for i := range e.attempts {
			if t := &e.attempts[i]; !t.over {
				out++
				if t.streaming {
					streaming++
				}
			}
		}
		switch {
		case out != e.out:
			return fmt.Errorf("ledger: %s counts %d attempts out, has %d", id, e.out, out)
		case e.concluded && out == 0:
			return fmt.Errorf("ledger: %s has ended and is still held", id)
		case streaming > 1:
			return fmt.Errorf("ledger: %s streams from %d attempts", id, streaming)
		case l.left(e) < 0:
			return fmt.Errorf("ledger: %s has %d attempts", id, len(e.attempts))
		}
		if !e.concluded {
			live++
		}
	}
	if live != l.live {
		return fmt.Errorf("ledger: %d requests are live, %d are counted", live, l.live)
	}
	return nil
}
