package relay

import (
	"errors"
	"fmt"
	"io"
	"time"

	"dillroute/internal/http1"
)

// errRejected means that discovery is overloaded or unavailable for now.
var errRejected = errors.New("relay: discovery rejected the call")

// errWatchEnded means that this node has ended the watch.
var errWatchEnded = errors.New("relay: the watch has ended")

// call makes a call and sends its result to the poller, unless the watch has ended.
func (d *Discovery) call(w *watch, pool *http1.Pool, c *call) {
	result := callResult{call: c, conn: c.conn}
	if result.conn == nil {
		result.conn, result.err = pool.Dial(w.ctx, w.addr, seconds(d.policy.FirstByte))
	}
	if result.err == nil {
		if w.addConn(c, result.conn) {
			result.response, result.err = d.fetchList(result.conn, c.target)
		} else {
			result.err = errWatchEnded
		}
	}
	select {
	case w.results <- result:
	case <-w.stop:
		if result.conn != nil {
			result.conn.Close()
		}
	}
}

// fetchList makes one call on a connection. The response must begin within policy.MaxSilence; the poller makes another call
// before that. After its first byte, no pause may exceed policy.BetweenBytes, and it must end within policy.CompleteResponse.
func (d *Discovery) fetchList(conn *http1.ClientConn, target string) (*listResponse, error) {
	conn.SetDeadline(time.Now().Add(seconds(d.policy.MaxSilence)))
	if _, _, err := conn.Send("GET", target, nil, nil); err != nil {
		return nil, err
	}
	if err := conn.AwaitResponse(); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(seconds(d.policy.CompleteResponse))
	conn.SetDeadline(deadline)
	response, err := conn.ReadResponse()
	if err != nil {
		return nil, err
	}
	response.Body = &deadlineBody{conn: conn, body: response.Body, maxPause: seconds(d.policy.BetweenBytes), deadline: deadline}
	body, err := response.ReadAll(maxListBytes)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response.Status); err != nil {
		return nil, err
	}
	return readList(body)
}

// checkStatus returns the error for a status of discovery; nil = the response holds a list.
func checkStatus(status int) error {
	switch status {
	case 200:
		return nil
	case 429, 503: // too many requests, service unavailable
		return fmt.Errorf("%w: status %d", errRejected, status)
	}
	return fmt.Errorf("relay: discovery responded with status %d", status)
}

// deadlineBody reads a body. A read fails if no byte arrives within maxPause, or before the deadline of the whole body.
type deadlineBody struct {
	conn     *http1.ClientConn
	body     io.Reader
	maxPause time.Duration
	deadline time.Time
}

// Read reads from the body with a deadline for this read.
func (s *deadlineBody) Read(p []byte) (int, error) {
	readDeadline := time.Now().Add(s.maxPause)
	if readDeadline.After(s.deadline) {
		readDeadline = s.deadline
	}
	s.conn.SetDeadline(readDeadline)
	return s.body.Read(p)
}
