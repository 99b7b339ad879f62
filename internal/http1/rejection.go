package http1

import (
	"bufio"
	"time"
)

// Limits of the rejection queue, which holds the connections over the limit that are being rejected.
const (
	defaultRejectionQueue     = 64
	defaultRejectionFirstByte = 250 * time.Millisecond // for the first byte: clients open connections in advance and never use some
	rejectionHeadTimeout      = time.Second
)

func (s *Server) rejectionQueueSize() int {
	if s.RejectionQueue > 0 {
		return s.RejectionQueue
	}
	return defaultRejectionQueue
}

// rejectOverLimit reads the head of one request and rejects it.
func (c *conn) rejectOverLimit() {
	c.closed.Reason = ConnectionLimit
	c.buffered = bufio.NewReaderSize(c.ahead, readBufferSize)
	c.netConn.SetReadDeadline(time.Now().Add(orElse(c.server.Timeouts.Rejection, defaultRejectionFirstByte)))
	if _, err := c.buffered.Peek(1); err != nil && !c.arrivedAtDeadline(err) {
		return
	}
	c.netConn.SetReadDeadline(time.Now().Add(rejectionHeadTimeout))
	if _, err := ReadRequest(c.buffered, c.server.Limits); err != nil {
		c.rejectRequest(err)
		return
	}
	c.rejectRequest(&Error{503, "too many connections"})
}
