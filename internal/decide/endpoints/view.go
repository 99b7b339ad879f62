package endpoints

import "fmt"

// Options define which changes a View applies only after confirmation or a delay.
type Options struct {
	ShrinkShare  float64 // a list that lacks more than this share of a role's engines needs confirmation
	ConfirmAfter float64 // seconds after which a removal is confirmed without a second list
	FlapCount    int     // an engine that was removed this often within FlapWindow is flapping
	FlapWindow   float64 // seconds within which removals are counted
	FlapHold     float64 // seconds for which a flapping engine must stay listed; it drains until then
}

// DefaultOptions are the options that a node uses.
var DefaultOptions = Options{ShrinkShare: 0.5, ConfirmAfter: 2, FlapCount: 3, FlapWindow: 30, FlapHold: 5}

const (
	// retentionWindows is how long a removed engine is remembered, in units of FlapWindow, so that an engine that is added
	// again later still counts as flapping.
	retentionWindows = 10
	// retentionSlack is added to that time by Next (s), so that Tick finds it exceeded if it is called at the time that Next returned.
	retentionSlack = 1
	// removalsToConfirm is the number of different lists that have to lack an engine before a large removal is applied.
	removalsToConfirm = 2
	// maxNotes limits the notes between two calls of Notes, because a broken source may cause any number.
	maxNotes = 100
)

// Snapshot is the list of engines that the node uses at one time.
type Snapshot struct {
	Endpoints   []Endpoint // in order of id
	Index       uint64     // of the list that it is based on
	ConfirmedAt float64    // when a source last confirmed it
	Saved       bool       // it is based on a list that an earlier run saved, and no source has responded yet
}

// Note is a message to operators that explains why a list was not applied as it was received.
type Note struct{ Text string }

// viewRecord is the history of one engine. An engine that was removed stays recorded for some time.
type viewRecord struct {
	Endpoint
	listed       bool      // it is part of the snapshot
	listedSince  float64   // when it was last added
	removals     []float64 // times of the latest removals, the oldest first; at most FlapCount
	missingSince float64   // when the first list lacked it, while its removal is unconfirmed; 0 = no removal is pending
	missingLists int       // number of different lists that have lacked it since then
}

// View is the endpoint view that a node builds from complete lists. It is not safe for concurrent use.
type View struct {
	options     Options
	records     map[string]*viewRecord
	index       uint64
	confirmedAt float64
	responded   bool // a source has responded since the start
	changed     bool // the call in progress has changed the snapshot
	notes       []Note
}

// NewView returns a view without engines.
func NewView(options Options) *View {
	return &View{options: options, records: map[string]*viewRecord{}}
}

// Restore applies the list that an earlier run saved. It is used until a source has responded, however old it is: calls to a
// listed engine that no longer exists fail immediately, and the first response adds engines that are missing. Start times are
// restored unchanged, so that an engine in slow start stays in it. Restore does nothing if the view has engines already, or a
// source has responded.
func (v *View) Restore(now float64, saved []Endpoint) {
	if v.responded || len(v.records) > 0 {
		return
	}
	for _, endpoint := range v.withoutDuplicates(saved) {
		v.records[endpoint.ID] = &viewRecord{Endpoint: endpoint, listed: true, listedSince: now}
	}
	v.confirmedAt = now
	v.changed = true
}

// Apply applies a list and reports whether the snapshot has changed. A list with a lower index than the view's is rejected,
// unless the source's index was reset (see IndexReset).
func (v *View) Apply(now float64, list List) bool {
	v.changed = false
	if list.Index > 0 && list.Index < v.index {
		v.addNote("endpoint list rejected: its index %d is older than the current index %d", list.Index, v.index)
		return false
	}
	repeated := list.Index > 0 && list.Index == v.index && v.responded
	v.index = list.Index
	v.confirmedAt = now
	listed := v.withoutDuplicates(list.Endpoints)
	for _, endpoint := range listed {
		v.applyEndpoint(now, endpoint)
	}
	v.applyMissing(now, listed, repeated)
	v.responded = true
	return v.changed
}

// IndexReset makes the view accept lists from the lowest index on. It is called when the source's index went backwards, because
// the source was restored or replaced. A large removal by its lists still needs confirmation.
func (v *View) IndexReset() {
	v.addNote("the list server's index fell below %d; polling it from the start", v.index)
	v.index = 0
}

// applyEndpoint records an engine that a list names.
func (v *View) applyEndpoint(now float64, endpoint Endpoint) {
	record := v.records[endpoint.ID]
	if record == nil {
		v.records[endpoint.ID] = &viewRecord{Endpoint: endpoint, listed: true, listedSince: now}
		v.changed = true
		return
	}
	switch {
	case !record.listed:
		record.listed = true
		record.listedSince = now
		v.changed = true
		if endpoint.BootTime <= record.BootTime {
			endpoint.BootTime = now // the list reports no restart, but the engine may still have lost its cache
		}
	case endpoint.Address != record.Address || endpoint.Kind != record.Kind:
		v.addNote("engine %s was %s, kind %d, and is %s, kind %d: it counts as restarted",
			endpoint.ID, record.Address, record.Kind, endpoint.Address, endpoint.Kind)
		if endpoint.BootTime <= record.BootTime {
			endpoint.BootTime = now
		}
	default:
		endpoint.BootTime = max(endpoint.BootTime, record.BootTime) // an earlier start time comes from an older report
	}
	record.missingSince = 0
	record.missingLists = 0
	if record.Endpoint != endpoint {
		record.Endpoint = endpoint
		v.changed = true
	}
}

// applyMissing removes the engines that a list lacks, or records that their removal needs confirmation. A repeated list
// does not confirm a removal.
func (v *View) applyMissing(now float64, listed []Endpoint, repeated bool) {
	named := map[string]bool{}
	for _, endpoint := range listed {
		named[endpoint.ID] = true
	}
	unconfirmedRoles := v.rolesToConfirm(named)
	for _, id := range sortedIDs(v.records) {
		record := v.records[id]
		if !record.listed || named[id] {
			continue
		}
		if record.missingSince == 0 {
			record.missingSince = now
		}
		if !repeated {
			record.missingLists++
		}
		confirmed := record.missingLists >= removalsToConfirm || now >= record.missingSince+v.options.ConfirmAfter
		if !unconfirmedRoles[record.Role] || confirmed {
			v.remove(now, record)
		}
	}
	for role, unconfirmed := range unconfirmedRoles {
		if unconfirmed && len(v.UnconfirmedRemovals()) > 0 {
			v.addNote("the list lacks more than %.0f%% of role %d at once: it is applied after a second one, or in %g s",
				100*v.options.ShrinkShare, role, v.options.ConfirmAfter)
		}
	}
}

// rolesToConfirm returns, for each role of which a list lacks engines, whether their removal needs confirmation. The removal of
// a single engine does not, because it may be the only one of its role.
func (v *View) rolesToConfirm(named map[string]bool) map[int]bool {
	listed := map[int]int{}
	missing := map[int]int{}
	for id, record := range v.records {
		if !record.listed {
			continue
		}
		listed[record.Role]++
		if !named[id] {
			missing[record.Role]++
		}
	}
	unconfirmed := map[int]bool{}
	for role, count := range missing {
		unconfirmed[role] = count > 1 && float64(count) > v.options.ShrinkShare*float64(listed[role])
	}
	return unconfirmed
}

// remove takes an engine out of the snapshot and records the time.
func (v *View) remove(now float64, record *viewRecord) {
	record.listed = false
	record.missingSince = 0
	record.missingLists = 0
	record.removals = append(record.removals, now)
	record.removals = record.removals[max(0, len(record.removals)-max(1, v.options.FlapCount)):]
	v.changed = true
}

// Snapshot returns the list that the node uses at the time now.
func (v *View) Snapshot(now float64) Snapshot {
	snapshot := Snapshot{Index: v.index, ConfirmedAt: v.confirmedAt, Saved: !v.responded}
	for _, id := range sortedIDs(v.records) {
		record := v.records[id]
		if !record.listed {
			continue
		}
		endpoint := record.Endpoint
		if v.isFlapping(now, record) {
			endpoint.State = Draining
		}
		snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
	}
	return snapshot
}

// isFlapping reports whether an engine was removed and added too often to get new work yet.
func (v *View) isFlapping(now float64, record *viewRecord) bool {
	return len(record.removals) >= v.options.FlapCount &&
		record.removals[0] > record.listedSince-v.options.FlapWindow &&
		now < record.listedSince+v.options.FlapHold
}

// UnconfirmedRemovals returns the ids of the engines that lists lack and that are still in the snapshot.
func (v *View) UnconfirmedRemovals() []string {
	var ids []string
	for _, id := range sortedIDs(v.records) {
		if record := v.records[id]; record.listed && record.missingSince > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Notes returns the notes that were added since its last call.
func (v *View) Notes() []Note {
	notes := v.notes
	v.notes = nil
	return notes
}

func (v *View) addNote(format string, args ...any) {
	if len(v.notes) < maxNotes {
		v.notes = append(v.notes, Note{Text: fmt.Sprintf(format, args...)})
	}
}
