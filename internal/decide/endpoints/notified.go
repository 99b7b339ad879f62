package endpoints

import "maps"

// Update is the state of one engine as a source reported it. It counts as notified from the moment the source sent it.
type Update struct {
	Endpoint
	Removed bool
}

// stopsNewWork reports whether the engine must not be sent new work.
func (u Update) stopsNewWork() bool { return u.Removed || u.State != Ready }

// NotifiedView is the endpoint view of a source whose updates count as notified from the moment they are sent. A node that
// keeps sending to an engine after it was notified that the engine drains breaks rule 3, however implausible the list looks.
// So the view always applies a removal or a drain immediately. An update that makes an engine ready is ignored only if it is older
// than one already applied. NotifiedView is not safe for concurrent use.
type NotifiedView struct {
	version   int64
	complete  bool // a complete list was applied, so that only the changes since version are needed
	endpoints map[string]notifiedEndpoint
}

// notifiedEndpoint is the latest update of an engine.
type notifiedEndpoint struct {
	Update
	notifiedAt float64 // when it was last reported
}

// removedRetention is how long a removed engine is remembered (s), so that an outdated response does not add it again.
const removedRetention = 120

// NewNotifiedView returns an empty view.
func NewNotifiedView() *NotifiedView {
	return &NotifiedView{endpoints: map[string]notifiedEndpoint{}}
}

// Version returns the version since which to request changes. ok is false if the complete list must be requested instead;
// version 0 is a valid version.
func (v *NotifiedView) Version() (version int64, ok bool) { return v.version, v.complete }

// Apply applies a response of the source: the complete list if full is set, otherwise the changes up to version. It returns the
// updates that changed the view, sorted by id.
func (v *NotifiedView) Apply(now float64, version int64, full bool, updates []Update) []Update {
	changes := map[string]Update{}
	outdated := v.complete && version < v.version
	for _, update := range updates {
		v.applyUpdate(now, update, outdated, changes)
	}
	if full {
		v.removeUnnamed(now, updates, changes)
	}
	v.forgetRemoved(now)
	v.advance(version, full, outdated)
	ordered := make([]Update, 0, len(changes))
	for _, id := range sortedIDs(changes) {
		ordered = append(ordered, changes[id])
	}
	return ordered
}

// applyUpdate records an engine's update and adds it to changes if it changes the view.
func (v *NotifiedView) applyUpdate(now float64, update Update, outdated bool, changes map[string]Update) {
	endpoint, known := v.endpoints[update.ID]
	if outdated && known && endpoint.stopsNewWork() && !update.stopsNewWork() && update.BootTime <= endpoint.BootTime {
		return // a later update reported that this incarnation of the engine drains or is removed
	}
	if !known && update.Removed {
		return
	}
	if !known || endpoint.Update != update {
		changes[update.ID] = update
	}
	v.endpoints[update.ID] = notifiedEndpoint{Update: update, notifiedAt: now}
}

// removeUnnamed removes the engines that a complete list does not name.
func (v *NotifiedView) removeUnnamed(now float64, updates []Update, changes map[string]Update) {
	named := map[string]bool{}
	for _, update := range updates {
		named[update.ID] = true
	}
	for id, endpoint := range v.endpoints {
		if named[id] || endpoint.Removed {
			continue
		}
		endpoint.Removed = true
		endpoint.notifiedAt = now
		v.endpoints[id] = endpoint
		changes[id] = endpoint.Update
	}
}

// forgetRemoved drops engines that were removed long ago.
func (v *NotifiedView) forgetRemoved(now float64) {
	maps.DeleteFunc(v.endpoints, func(_ string, endpoint notifiedEndpoint) bool {
		return endpoint.Removed && now > endpoint.notifiedAt+removedRetention
	})
}

// advance sets the version since which to request changes.
func (v *NotifiedView) advance(version int64, full, outdated bool) {
	switch {
	case full: // even if the version is older: the source has restarted
		v.version = version
		v.complete = true
	case outdated: // the changes between this version and the view's are unknown
		v.complete = false
	default:
		v.version = version
	}
}
