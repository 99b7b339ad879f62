package node_test

import (
	"testing"
	"time"

	"dillroute/lab/platform"
)

// What an attempt tells its engine of the time is at most what is left to the client, at the first attempt and at further ones.
func TestRelayTellsEnginesNoMoreTimeThanIsLeft(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write", "w1 write")
	for _, class := range []string{"chat", "commit"} {
		e["w0"].Next(platform.Rejects)
		e["w1"].Next(platform.Rejects)
		a := s.ask(class)
		a.Patience = 2 * time.Second
		end := float64(time.Now().Add(a.Patience).UnixNano()) / 1e9
		s.do(a)
		told := s.p.Budgets(a.Op)
		if len(told) < 2 {
			t.Fatalf("%s: %d attempts", class, len(told))
		}
		for i, b := range told {
			// The client's text gives its time in ms, counted from when it is sent, a moment after end was taken.
			if most := end - b.At + 0.02; b.Told > most || b.Told <= 0 {
				t.Errorf("%s, attempt %d: told %.3f s, %.3f are left", class, i, b.Told, most)
			}
		}
	}
	s.lawful()
}
