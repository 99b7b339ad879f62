package engine

import (
	"bytes"
	"errors"
	"io"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/front"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// ErrUnusableResponse is wrapped by a Sink's error where the engine's response, and not the client, is at fault.
var ErrUnusableResponse = errors.New("engine: unusable response")

// Sink receives the stream of a decode attempt.
type Sink interface {
	// LoadReported is called with the engine's load when its response begins; nil = none was reported.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for the permission to respond to the client.
	RequestGrant() bool
	// Event forwards an event; more tells that another one is buffered, so that both may be written together. An error means that
	// the client has disconnected, or wraps ErrUnusableResponse.
	Event(data, raw []byte, more bool) error
	// Flush writes buffered events where the stream breaks.
	Flush() error
	// Finish forwards the end of the stream.
	Finish() error
}

// streamEvents forwards events up to the end mark [DONE].
func (a *Attempt) streamEvents(conn *http1.ClientConn, response *http1.Response, sink Sink, result *Result) (outcome.Cause, error) {
	events := http1.NewEventReader(response.Body, a.Client.MaxEvent)
	defer events.Close()
	if cause, err := a.awaitFirstToken(events, sink, result); err != nil || result.Evidence.Progress != outcome.Streaming {
		return cause, err
	}
	cause, err := a.forwardEvents(conn, events, sink)
	if cause != outcome.ResponseComplete && cause != outcome.ClientDisconnected {
		sink.Flush() // an error means a disconnected client, and the stream is over in any case
	}
	return cause, err
}

// stallDeadlineShare is the part of the stall timeout after which the deadline is moved on: moving it for each event would cost more
// than forwarding the event.
const stallDeadlineShare = 64

// forwardEvents forwards the events of a running stream.
func (a *Attempt) forwardEvents(conn *http1.ClientConn, events *http1.EventReader, sink Sink) (outcome.Cause, error) {
	var deadlineMovedAt time.Time
	for {
		stall := a.Client.Stall()
		if now := time.Now(); now.Sub(deadlineMovedAt) > stall/stallDeadlineShare {
			deadlineMovedAt = now
			conn.SetDeadline(now.Add(stall))
		}
		data, raw, err := events.Next()
		if err != nil {
			return a.CauseOf(unexpectedEOF(err), outcome.StreamStalled), err
		}
		end, read := front.InspectEvent(data)
		if read {
			chunk, err := front.ReadChunk(data)
			if err != nil {
				return a.CauseOf(&http1.Error{Status: 502, Reason: err.Error()}, outcome.MalformedResponse), err
			}
			if chunk.Err != nil {
				return a.CauseOf(nil, outcome.ConnectionBroken), errors.New("engine: error event: " + chunk.Err.Message)
			}
		}
		if end {
			if err := sink.Finish(); err != nil {
				return sinkCause(err), err
			}
			return outcome.ResponseComplete, nil
		}
		if err := sink.Event(data, raw, events.More()); err != nil {
			return sinkCause(err), err
		}
	}
}

// unexpectedEOF turns the end of the connection into an error: the end mark is missing.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// awaitFirstToken reads up to the first token and forwards it once the response is granted to this attempt. Events before it are held
// back, since the attempt may still fail and be retried elsewhere.
func (a *Attempt) awaitFirstToken(events *http1.EventReader, sink Sink, result *Result) (outcome.Cause, error) {
	var early [][2][]byte
	for heldBytes := 0; ; {
		data, raw, err := events.Next()
		if err != nil {
			return a.CauseOf(unexpectedEOF(err), outcome.AttemptTimedOut), err
		}
		chunk, err := front.ReadChunk(data)
		switch {
		case err != nil:
			return a.CauseOf(&http1.Error{Status: 502, Reason: err.Error()}, outcome.MalformedResponse), err
		case chunk.Err != nil:
			return a.CauseOf(nil, outcome.ConnectionBroken), errors.New("engine: error event: " + chunk.Err.Message)
		case chunk.Done:
			return outcome.MalformedResponse, errors.New("engine: stream without a token")
		}
		if heldBytes += len(raw); heldBytes > a.Client.MaxEvent {
			return outcome.MalformedResponse, http1.ErrEventTooLong
		}
		early = append(early, [2][]byte{bytes.Clone(data), bytes.Clone(raw)})
		if !chunk.Token {
			continue
		}
		if !sink.RequestGrant() {
			return a.CauseOf(nil, outcome.ConnectionBroken), nil
		}
		result.Evidence.Progress = outcome.Streaming
		for i, e := range early {
			if err := sink.Event(e[0], e[1], i+1 < len(early)); err != nil {
				return sinkCause(err), err
			}
		}
		return outcome.ResponseComplete, nil
	}
}

// sinkCause is the cause of a Sink's error.
func sinkCause(err error) outcome.Cause {
	if errors.Is(err, ErrUnusableResponse) {
		return outcome.MalformedResponse
	}
	return outcome.ClientDisconnected
}
