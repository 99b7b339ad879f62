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
			e["r0"].QueueFaults(platform.DelayedSecondResponse)
		}
		e["w0"].QueueFaults(platform.DelayedSecondResponse)
		a := s.ask("chat")
		if r := s.do(a); r.Outcome != record.Served || r.Text != platform.ResponseText(a.Operation, a.ResponseTokens) {
			t.Errorf("request %d: got %+v, want its own answer", i, r)
		}
	}
	s.lawful()
}

// A stream without its final event, or cut within its last chunk, or of comments alone from some point on, is not passed on as
// whole, and its client's connection ends in time.
func TestRelayStreamsThatAreNotWhole(t *testing.T) {
	for _, f := range []platform.Fault{platform.NoFinalEvent, platform.CloseInLastChunk, platform.EndlessComments} {
		t.Run(string(f), func(t *testing.T) {
			s, e := newStage(t, 64, 256, "r0 read", "w0 write")
			e["w0"].QueueFaults(f)
			a := s.ask("commit")
			r := s.do(a)
			if r.Outcome != record.Failed || r.Complete || !strings.HasPrefix(platform.ResponseText(a.Operation, a.ResponseTokens), r.Text) || r.Text == "" {
				t.Errorf("got %+v, want a stream that ends without its last chunk", r)
			}
			if r.Duration > 5*time.Second {
				t.Errorf("its end took %v", r.Duration)
			}
			if n := s.count(record.Run, a.Operation); n != 1 {
				t.Errorf("ran %d times", n)
			}
			s.lawful()
		})
	}
}

// The head of a rejection, or of a read that is done, says what became of the attempt. Its body may stop half way.
func TestRelayHalfBodiesDoNotUseUpTheTime(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	for _, f := range []platform.Fault{platform.IncompleteRejection, platform.IncompletePrefillResponse} {
		e["r0"].QueueFaults(f)
		a := s.ask("commit")
		if r := s.do(a); r.Outcome != record.Served || r.Duration > 2*time.Second {
			t.Errorf("%s: got %+v, want it served well before its time is up", f, r)
		}
	}
	s.lawful()
}
