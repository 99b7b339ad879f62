package http1

import (
	"bufio"
	"time"
)

// The lobby: connections that are refused at a time, and how long their heads may take.
const (
	lobbyMost = 64
	lobbyWait = 250 * time.Millisecond // for the first byte: clients open connections ahead and never use some
	lobbyTime = time.Second
)

func (s *Server) lobbySize() int {
	if s.RejectionQueue > 0 {
		return s.RejectionQueue
	}
	return lobbyMost
}

// turnAway reads one request's head and refuses it.
func (c *conn) turnAway() {
	c.end.Reason = ConnectionLimit
	c.br = bufio.NewReaderSize(c.ahead, readBuffer)
	c.nc.SetReadDeadline(time.Now().Add(orElse(c.srv.Timeouts.Rejection, lobbyWait)))
	if _, err := c.br.Peek(1); err != nil && !c.cameLate(err) {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lobbyTime))
	if _, err := ReadRequest(c.br, c.srv.Limits); err != nil {
		c.reject(err)
		return
	}
	c.reject(&Error{503, "too many connections"})
}
