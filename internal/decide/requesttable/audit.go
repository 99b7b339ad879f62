package requesttable

import (
	"fmt"
	"maps"
	"slices"
)

func sortedKeys(records map[string]*requestRecord) []string { return slices.Sorted(maps.Keys(records)) }

// AuditError is an inconsistency of the table.
type AuditError struct {
	RequestID string // "" = the table as a whole
	Problem   string
}

// Error implements error.
func (e *AuditError) Error() string {
	if e.RequestID == "" {
		return "requesttable: " + e.Problem
	}
	return fmt.Sprintf("requesttable: request %s %s", e.RequestID, e.Problem)
}

// Audit checks the consistency of the table and returns the first inconsistency as an *AuditError. Its running time is
// proportional to the number of records; the tests call it after every step.
func (t *Table) Audit() error {
	open := 0
	for _, id := range sortedKeys(t.records) {
		record := t.records[id]
		if problem := t.auditRecord(record); problem != "" {
			return &AuditError{RequestID: id, Problem: problem}
		}
		if record.response.open() {
			open++
		}
	}
	if open != t.openCount {
		return &AuditError{Problem: fmt.Sprintf("%d requests are open but %d are counted", open, t.openCount)}
	}
	return nil
}

// auditRecord describes the first inconsistency of a record; "" = there is none.
func (t *Table) auditRecord(record *requestRecord) string {
	inFlight, streaming := 0, 0
	for i := range record.attempts {
		if record.attempts[i].isInFlight() {
			inFlight++
		}
		if record.attempts[i].isStreaming() {
			streaming++
		}
	}
	switch {
	case inFlight != record.inFlight:
		return fmt.Sprintf("counts %d attempts in flight but has %d", record.inFlight, inFlight)
	case record.response.ended() && inFlight == 0:
		return "has ended without an attempt in flight but has not been removed"
	case streaming > 1:
		return fmt.Sprintf("has %d streaming attempts", streaming)
	case record.releaseDuringDecode != nil && !record.decodeInFlight():
		return "has a release made during decode attempts but no decode attempt in flight"
	case record.hold.repeatAt > 0 && record.releaseDuringDecode == nil:
		return "has a repeat scheduled for a release that was not made"
	case t.attemptsLeft(record) < 0:
		return fmt.Sprintf("has %d attempts, more than allowed", len(record.attempts))
	}
	return ""
}
