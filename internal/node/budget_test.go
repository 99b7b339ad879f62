package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dillroute/lab/platform"
)

// What an attempt tells its engine of the time is at most what is left to the client, at the first attempt and at further ones.
func TestRelayTellsEnginesNoMoreTimeThanIsLeft(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write", "w1 write")
	for _, class := range []string{"chat", "commit"} {
		e["w0"].QueueFaults(platform.Rejection)
		e["w1"].QueueFaults(platform.Rejection)
		a := s.ask(class)
		a.Timeout = 2 * time.Second
		end := float64(time.Now().Add(a.Timeout).UnixNano()) / 1e9
		s.do(a)
		told := s.p.Budgets(a.Operation)
		if len(told) < 2 {
			t.Fatalf("%s: %d attempts", class, len(told))
		}
		for i, b := range told {
			// The client's text gives its time in ms, counted from when it is sent, a moment after end was taken.
			if most := end - b.ReceivedAt + 0.02; b.RemainingSeconds > most || b.RemainingSeconds <= 0 {
				t.Errorf("%s, attempt %d: told %.3f s, %.3f are left", class, i, b.RemainingSeconds, most)
			}
		}
	}
	s.lawful()
}

// The time of a request that was sent behind others on its connection runs from when it was sent, not from when its turn comes: engines
// are told what is left of it, and one whose time is over meanwhile is not sent to any.
func TestRelayCountsTheTimeThatARequestWaitsBehindOthers(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	e["w0"].TokenInterval = 100 * time.Millisecond
	asks, text := make([]platform.Request, 3), ""
	for i, patience := range []time.Duration{3 * time.Second, 2 * time.Second, 500 * time.Millisecond} {
		a := s.ask("chat")
		a.ID, a.Timeout = fmt.Sprintf("a1ea%d", i), patience
		s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, ResponseTokens: a.ResponseTokens})
		asks[i] = a
		text += a.Encode()
	}
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := float64(time.Now().UnixNano()) / 1e9
	io.WriteString(c, text)
	br := bufio.NewReader(c)
	for i, a := range asks {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		told := s.p.Budgets(a.Operation)
		if late := i == 2; late == (resp.StatusCode == 200) || late != (len(told) == 0) {
			t.Errorf("request %d: status %d, %d attempts", i, resp.StatusCode, len(told))
		}
		for _, b := range told {
			if most := sent + a.Timeout.Seconds() - b.ReceivedAt + 0.15; b.RemainingSeconds > most {
				t.Errorf("request %d: told %.3f s, %.3f are left with the slack", i, b.RemainingSeconds, most)
			}
		}
	}
	s.eventually("nothing is held", func() bool { return s.p.CallsWithState() == 0 })
}
