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

// The checker reported a second state of a call that waited beside the one that an attempt in flight was to fetch. The limit holds while no
// attempt is out: from the end of the attempt, or once it has its state, the other state must be released in time.
func TestStatesOfOneCallWaitWhileAnAttemptIsOut(t *testing.T) {
	const limit, skew = 1.0, 0.1
	reserved := func(at float64, engine string) record.Record {
		return record.Record{T: at, Kind: record.StateReserved, Op: "a", Node: "n", Engine: engine, State: "a@" + engine, Note: "prefill"}
	}
	ended := func(at float64, engine, note string) record.Record {
		return record.Record{T: at, Kind: record.StateEnded, Engine: engine, State: "a@" + engine, Note: note}
	}
	fetch := func(kind record.Kind, at float64, operation string) record.Record {
		return record.Record{T: at, Kind: kind, Op: operation, Node: "n", Engine: "w", State: "a@r", Note: "decode"}
	}
	for _, c := range []struct {
		name    string
		records []record.Record
		broken  bool
	}{
		{"released with the fetch", []record.Record{reserved(100, "r"), reserved(100, "q"), fetch(record.AttemptArrived, 100.1, "a"),
			ended(103, "r", record.StateFetched), ended(103, "q", "released")}, false},
		{"released in time after the attempt's end", []record.Record{reserved(100, "r"), reserved(100, "q"),
			fetch(record.AttemptArrived, 100.1, "a"), fetch(record.AttemptEnded, 103, "a"), ended(104, "r", "released"),
			ended(104, "q", "released")}, false},
		{"released late after the attempt's end", []record.Record{reserved(100, "r"), reserved(100, "q"),
			fetch(record.AttemptArrived, 100.1, "a"), fetch(record.AttemptEnded, 103, "a"), ended(103.1, "r", "released"),
			ended(104.2, "q", "released")}, true},
		{"released late after the fetch, while the response streams", []record.Record{reserved(100, "r"), reserved(100, "q"),
			fetch(record.AttemptArrived, 100.1, "a"), ended(101, "r", record.StateFetched), ended(102.2, "q", "released"),
			fetch(record.AttemptEnded, 105, "a")}, true},
		{"waited too long before the attempt", []record.Record{reserved(100, "r"), reserved(100, "q"),
			fetch(record.AttemptArrived, 101.2, "a"), ended(101.3, "r", record.StateFetched), ended(101.3, "q", "released")}, true},
		{"an attempt of another call", []record.Record{reserved(100, "r"), reserved(100, "q"), ended(100.5, "r", "released"),
			fetch(record.AttemptArrived, 100.1, "b"), ended(103, "q", "released")}, true},
		{"no attempt", []record.Record{reserved(100, "r"), reserved(100, "q"), ended(100.5, "r", "released"),
			ended(103, "q", "released")}, true},
	} {
		found := rules.Check(c.records, rules.Config{StateReleaseLimit: limit, Skew: skew})
		broken := false
		for _, v := range found {
			broken = broken || v.Rule == 5
		}
		if broken != c.broken {
			t.Errorf("%s: got %v, want rule 5 broken %v", c.name, found, c.broken)
		}
	}
}
