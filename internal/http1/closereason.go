package http1

// ConnClosed is the end of a client's connection.
type ConnClosed struct {
	Reason     CloseReason
	Requests   int  // that were read on it
	Unanswered bool // the last of them has no answer, though its client has not been seen to leave
}

// CloseReason says why a client's connection has ended.
type CloseReason string

// Reasons of an end.
const (
	PeerClosed         CloseReason = "the client closed it between requests"
	ClientDisconnected CloseReason = "the client left before its answer ended"
	NoRequestInTime    CloseReason = "no request came on it in time"
	IdleTimeout        CloseReason = "it rested for as long as it may"
	Evicted            CloseReason = "it made room for another"
	Drained            CloseReason = "the server is draining"
	FinalResponse      CloseReason = "its answer was the last one"
	MalformedRequest   CloseReason = "its request could not be read"
	IncompleteRequest  CloseReason = "its request did not come to its end"
	ConnectionLimit    CloseReason = "there was no place for it"
)
