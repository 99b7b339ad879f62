package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// withoutDuplicates returns the endpoints of a list sorted by id, one for each id. Of several endpoints with the same id, the
// one with the latest boot time is used. If the boot times are equal and the addresses or kinds differ, it is unknown which
// endpoint is right, and the engine drains.
func (v *View) withoutDuplicates(listed []Endpoint) []Endpoint {
	byID := map[string]Endpoint{}
	for _, endpoint := range listed {
		other, duplicate := byID[endpoint.ID]
		switch {
		case !duplicate || endpoint.BootTime > other.BootTime:
			byID[endpoint.ID] = endpoint
		case endpoint.BootTime < other.BootTime:
			// The other endpoint is newer.
		case endpoint.Address != other.Address || endpoint.Kind != other.Kind:
			v.addNote("engine %s is listed twice, at %s and %s: it drains until the list is corrected",
				endpoint.ID, other.Address, endpoint.Address)
			byID[endpoint.ID] = drainingDuplicate(endpoint, other)
		case endpoint.State == Draining:
			byID[endpoint.ID] = endpoint
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// drainingDuplicate returns, of two contradicting endpoints, the one with the lower address, marked as draining.
func drainingDuplicate(endpoint, other Endpoint) Endpoint {
	if endpoint.Address < other.Address {
		other = endpoint
	}
	other.State = Draining
	return other
}
