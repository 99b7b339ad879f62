package endpoints

// Tick applies the passage of time and reports whether this has changed the snapshot: an unconfirmed removal is confirmed by
// its age, or a flapping engine has stayed listed for long enough. Next returns when Tick is due.
func (v *View) Tick(now float64) bool {
	v.changed = false
	for _, id := range sortedIDs(v.records) {
		record := v.records[id]
		switch {
		case record.listed && record.missingSince > 0 && now >= record.missingSince+v.options.ConfirmAfter:
			v.remove(now, record)
		case record.listed && len(record.removals) >= v.options.FlapCount && now >= record.listedSince+v.options.FlapHold:
			record.removals = nil
			v.changed = true
		case !record.listed && len(record.removals) > 0 && now > v.forgetAt(record):
			delete(v.records, id)
		}
	}
	return v.changed
}

// Next returns when Tick is due; ok is false if time alone changes nothing.
func (v *View) Next() (at float64, ok bool) {
	for _, record := range v.records {
		due, scheduled := v.nextOf(record)
		if scheduled && (!ok || due < at) {
			at = due
			ok = true
		}
	}
	return at, ok
}

// nextOf returns when time alone changes the record of one engine.
func (v *View) nextOf(record *viewRecord) (at float64, ok bool) {
	switch {
	case record.listed && record.missingSince > 0:
		return record.missingSince + v.options.ConfirmAfter, true
	case record.listed && len(record.removals) >= v.options.FlapCount:
		return record.listedSince + v.options.FlapHold, true
	case !record.listed && len(record.removals) > 0:
		return v.forgetAt(record) + retentionSlack, true
	}
	return 0, false
}

// forgetAt returns when the record of a removed engine expires.
func (v *View) forgetAt(record *viewRecord) float64 {
	return record.removals[len(record.removals)-1] + retentionWindows*v.options.FlapWindow
}
