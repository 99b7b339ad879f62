package rules_test

import (
	"testing"

	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// If the response of a prefill was lost, the time limit for its state starts at the end of the prefill. For any other state it starts at
// the reservation, even if the connection of the prefill stays open for longer.
func TestStateReleaseLimitStartsAtEndOfPrefillWithLostResponse(t *testing.T) {
	const limit, skew = 1.0, 0.1
	for _, c := range []struct {
		name                  string
		note                  string
		prefillEnds, released float64
		broken                bool
	}{
		{"response lost, released after the prefill's end", record.ResponseLost, 103, 104, false},
		{"response lost, released late", record.ResponseLost, 103, 104.2, true},
		{"response received, released in time", "", 103, 101, false},
		{"response received, released after the connection's end", "", 103, 103.1, true},
	} {
		attempt := record.Record{Op: "a", Node: "n", Engine: "r", State: "a@r", Note: "prefill"}
		entry := func(kind record.Kind, at float64, note string) record.Record {
			r := attempt
			r.Kind, r.T, r.Note = kind, at, note
			return r
		}
		records := []record.Record{
			entry(record.AttemptArrived, 99.9, "prefill"),
			entry(record.StateReserved, 100, c.note),
			entry(record.AttemptEnded, c.prefillEnds, "prefill"),
			entry(record.StateEnded, c.released, "released"),
		}
		if c.released < c.prefillEnds {
			records[2], records[3] = records[3], records[2]
		}
		found := rules.Check(records, rules.Config{StateReleaseLimit: limit, Skew: skew})
		broken := false
		for _, v := range found {
			broken = broken || v.Rule == 5
		}
		if broken != c.broken {
			t.Errorf("%s: got %v, want rule 5 broken %v", c.name, found, c.broken)
		}
	}
}
