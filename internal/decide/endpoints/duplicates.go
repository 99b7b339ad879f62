package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// withoutDuplicates returns the endpoints of a list in order of id, one for each id. Of several with one id the one with the
// latest start counts. Where their starts are equal and they differ in address or kind, the right one is unknown,
// and the engine drains.
func (v *View) withoutDuplicates(listed []Endpoint) []Endpoint {
	byID := map[string]Endpoint{}
	for _, endpoint := range listed {
		other, duplicate := byID[endpoint.ID]
		switch {
		case !duplicate || endpoint.BootTime > other.BootTime:
			byID[endpoint.ID] = endpoint
		case endpoint.BootTime < other.BootTime:
			// The other one is newer.
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

// drainingDuplicate returns the one of two contradicting endpoints with the lower address, as draining.
func drainingDuplicate(endpoint, other Endpoint) Endpoint {
	if endpoint.Address < other.Address {
		other = endpoint
	}
	other.State = Draining
	return other
}
