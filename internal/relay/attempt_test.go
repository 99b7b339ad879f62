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

// timeLeftSentToEngine makes an attempt whose connection takes connectDelay to establish. It returns the time left that the engine
// received, or "" if no request reached it.
func timeLeftSentToEngine(t *testing.T, clientTimeLeft, connectDelay time.Duration) (timeLeft string) {
	network := memnet.New()
	l := network.Listen("e0:5000")
	received := make(chan string, 1)
	go func() {
		defer close(received)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			received <- r.Header.Get(headerTimeLeft)
		}
	}()
	dial := func(ctx context.Context, kind, address string) (net.Conn, error) {
		time.Sleep(connectDelay)
		return network.Dialer("n0")(ctx, kind, address)
	}
	engines := NewEngines(&settings.Settings{ConnectTimeout: 1}, 8, dial)
	a := &attempt{engines: engines, id: "1eff", method: "POST", target: pathChat, newConnection: true, body: []byte("{}"),
		spec: protocol.AttemptSpec{Address: "e0:5000", Stage: outcome.Prefill, Timeout: 2 * time.Second,
			ClientDeadline: time.Now().Add(clientTimeLeft)}}
	r := a.Run(nil)
	l.Close()
	if timeLeft = <-received; timeLeft == "" && r.Evidence.Progress >= outcome.RequestWritten {
		t.Errorf("the attempt counts as written, but its engine received nothing")
	}
	engines.Close()
	return timeLeft
}

// An engine must receive the time that its client has left when the request is written, without the time that connecting took.
// Nothing may be written if no time is left.
func TestEnginesAreSentTheTimeLeftAtTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeLeft, err := strconv.ParseFloat(timeLeftSentToEngine(t, 800*time.Millisecond, 300*time.Millisecond), 64)
		if err != nil || timeLeft > 0.501 || timeLeft < 0.49 {
			t.Errorf("got %g s left (%v), want 0.5 s: 0.8 s were left, and connecting took 0.3 s", timeLeft, err)
		}
		if got := timeLeftSentToEngine(t, 200*time.Millisecond, 300*time.Millisecond); got != "" {
			t.Errorf("the client's deadline passed 0.1 s ago, but the engine received the request with the time left %q", got)
		}
		if got := timeLeftSentToEngine(t, -time.Millisecond, 0); got != "" {
			t.Errorf("the client's deadline has passed, but the engine received the request with the time left %q", got)
		}
	})
}
