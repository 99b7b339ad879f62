package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// withoutDuplicates returns the entries of a list in order of id, one for each id. Of several entries the one with the
// latest start counts. Where their starts are equal and they differ in address or kind, nobody knows which one is meant,
// and the engine drains.
func (v *View) withoutDuplicates(entries []Entry) []Entry {
	byID := map[string]Entry{}
	for _, entry := range entries {
		other, duplicate := byID[entry.ID]
		switch {
		case !duplicate || entry.BootTime > other.BootTime:
			byID[entry.ID] = entry
		case entry.BootTime < other.BootTime:
			// The other entry is the newer one.
		case entry.Address != other.Address || entry.Kind != other.Kind:
			v.addNote("engine %s is listed twice, at %s and %s: it drains until the list is corrected",
				entry.ID, other.Address, entry.Address)
			byID[entry.ID] = drainingDuplicate(entry, other)
		case entry.State == Draining:
			byID[entry.ID] = entry
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
}

// drainingDuplicate returns the one of two contradicting entries with the lower address, as draining.
func drainingDuplicate(entry, other Entry) Entry {
	if entry.Address < other.Address {
		other = entry
	}
	other.State = Draining
	return other
}
