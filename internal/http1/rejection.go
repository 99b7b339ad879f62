package http1

import (
	"bufio"
	"time"
)

// Limits of the rejection queue. It holds connections over Server.MaxConns while they are being rejected. The timeout for the first byte
// is short, because clients open connections in advance and never use some of them.
const (
	defaultRejectionQueue     = 64                     // connections
	defaultRejectionFirstByte = 250 * time.Millisecond // from accepting the connection to its first byte
	rejectionHeadTimeout      = time.Second            // from the first byte to the end of the request head
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
