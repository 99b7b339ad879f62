package http1

// ConnClosed describes a client connection that has ended.
type ConnClosed struct {
	Reason     CloseReason
	Requests   int  // requests that were read on it
	Unanswered bool // the last request got no response, although no disconnect of its client was detected
}

// CloseReason is why a client connection has ended. It is used as a log value and a metric label.
type CloseReason string

// Reasons of a close.
const (
	PeerClosed         CloseReason = "client closed idle connection"
	ClientDisconnected CloseReason = "client disconnected before the response ended"
	NoRequestInTime    CloseReason = "no request in time"
	IdleTimeout        CloseReason = "idle timeout"
	Evicted            CloseReason = "evicted while idle"
	Drained            CloseReason = "server draining"
	FinalResponse      CloseReason = "final response"
	MalformedRequest   CloseReason = "malformed request"
	IncompleteRequest  CloseReason = "incomplete request"
	ConnectionLimit    CloseReason = "connection limit"
)
