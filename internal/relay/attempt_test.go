package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/lab/memnet"
)

// recordedTimeLeft makes an attempt whose connection comes up after some time, and returns what its engine was told of the time
// that is left, or "" where nothing reached it.
func recordedTimeLeft(t *testing.T, until, connecting time.Duration) (timeLeft string) {
	network := memnet.New()
	l := network.Listen("e0:5000")
	asked := make(chan string, 1)
	go func() {
		defer close(asked)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			asked <- r.Header.Get(headerTimeLeft)
		}
	}()
	dial := func(ctx context.Context, kind, address string) (net.Conn, error) {
		time.Sleep(connecting)
		return network.Dialer("n0")(ctx, kind, address)
	}
	engines := NewEngines(&settings.Settings{ConnectTimeout: 1}, 8, dial)
	a := &attempt{engines: engines, id: "1eff", method: "POST", target: pathChat, newConnection: true, body: []byte("{}"),
		spec: protocol.AttemptSpec{Address: "e0:5000", Stage: outcome.Prefill, Timeout: 2 * time.Second,
			ClientDeadline: time.Now().Add(until)}}
	r := a.Run(nil)
	l.Close()
	if timeLeft = <-asked; timeLeft == "" && r.Evidence.Progress >= outcome.RequestWritten {
		t.Errorf("the attempt counts as written, its engine got nothing")
	}
	engines.Close()
	return timeLeft
}

// An engine is told what its client has left when the request is written, however long the connection took to come up; where
// nothing is left, nothing is begun.
func TestEnginesGetTheTimeLeftAtTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeLeft, err := strconv.ParseFloat(recordedTimeLeft(t, 800*time.Millisecond, 300*time.Millisecond), 64)
		if err != nil || timeLeft > 0.501 || timeLeft < 0.49 {
			t.Errorf("0.8 s were left 0.3 s ago, the engine was told %g s (%v)", timeLeft, err)
		}
		if got := recordedTimeLeft(t, 200*time.Millisecond, 300*time.Millisecond); got != "" {
			t.Errorf("the time was up 0.1 s ago, the engine was sent the request and told %q", got)
		}
		if got := recordedTimeLeft(t, -time.Millisecond, 0); got != "" {
			t.Errorf("the time was up, the engine was sent the request and told %q", got)
		}
	})
}
