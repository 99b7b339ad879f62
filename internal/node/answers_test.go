package node_test

import (
	"strings"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// A second answer that comes some milliseconds late is never taken for the answer to the next request, neither a read's nor a
// stream's: the next request is asked before it has come.
func TestRelayLateSecondAnswersAreNobodys(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	for i := range 30 {
		if i%3 > 0 {
			e["r0"].Next(platform.LateAnswer)
		}
		e["w0"].Next(platform.LateAnswer)
		a := s.ask("chat")
		if r := s.do(a); r.Outcome != record.Served || r.Text != platform.Whole(a.Op, a.Tokens) {
			t.Errorf("request %d: got %+v, want its own answer", i, r)
		}
	}
	s.lawful()
}

// A stream without its final event, or cut within its last chunk, or of comments alone from some point on, is not passed on as
// whole, and its client's connection ends in time.
func TestRelayStreamsThatAreNotWhole(t *testing.T) {
	for _, f := range []platform.Fault{platform.NoFinal, platform.CutLast, platform.Comments} {
		t.Run(string(f), func(t *testing.T) {
			s, e := newStage(t, 64, 256, "r0 read", "w0 write")
			e["w0"].Next(f)
			a := s.ask("commit")
			r := s.do(a)
			if r.Outcome != record.Failed || r.Done || !strings.HasPrefix(platform.Whole(a.Op, a.Tokens), r.Text) || r.Text == "" {
				t.Errorf("got %+v, want a stream that ends without its last chunk", r)
			}
			if r.Took > 5*time.Second {
				t.Errorf("its end took %v", r.Took)
			}
			if n := s.count(record.Run, a.Op); n != 1 {
				t.Errorf("ran %d times", n)
			}
			s.lawful()
		})
	}
}

// The head of a rejection, or of a read that is done, says what became of the attempt. Its body may stop half way.
func TestRelayHalfBodiesDoNotUseUpTheTime(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	for _, f := range []platform.Fault{platform.HalfReject, platform.HalfRead} {
		e["r0"].Next(f)
		a := s.ask("commit")
		if r := s.do(a); r.Outcome != record.Served || r.Took > 2*time.Second {
			t.Errorf("%s: got %+v, want it served well before its time is up", f, r)
		}
	}
	s.lawful()
}
