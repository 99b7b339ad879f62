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

// ErrUnusableResponse is wrapped by a Sink's error if the cause is the engine's response and not the client.
var ErrUnusableResponse = errors.New("engine: unusable response")

// Sink receives the stream of a decode attempt.
type Sink interface {
	// LoadReported is called with the engine's load when its response begins; nil = none was reported.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for the permission to respond to the client and reports whether it was granted.
	RequestGrant() bool
	// Event forwards an event; more reports whether another one is buffered, so that both may be written together. An error wraps
	// ErrUnusableResponse, or else means that the client has disconnected.
	Event(data, raw []byte, more bool) error
	// Flush writes the buffered events when the stream breaks.
	Flush() error
	// Finish forwards the end of the stream.
	Finish() error
}

// streamEvents forwards events up to the end marker [DONE].
func (a *Attempt) streamEvents(conn *http1.ClientConn, response *http1.Response, sink Sink, result *Result) (outcome.Cause, error) {
	events := http1.NewEventReader(response.Body, a.Client.MaxEvent)
	defer events.Close()
	if cause, err := a.awaitFirstToken(events, sink, result); err != nil || result.Evidence.Progress != outcome.Streaming {
		return cause, err
	}
	cause, err := a.forwardEvents(conn, events, sink)
	if cause != outcome.ResponseComplete && cause != outcome.ClientDisconnected {
		sink.Flush() // an error means that the client has disconnected; the stream has ended in any case
	}
	return cause, err
}

// maxEventTime is the longest time that an engine may take to write one event after the first token.
const maxEventTime = 30 * time.Second

// forwardEvents forwards the events after the first token.
func (a *Attempt) forwardEvents(conn *http1.ClientConn, events *http1.EventReader, sink Sink) (outcome.Cause, error) {
	stall := http1.StallDeadline{Conn: conn, MaxEvent: maxEventTime}
	events.Progress = stall.Progress
	for {
		stall.Stall = a.Client.StallTimeout()
		stall.EventEnded()
		data, raw, err := events.Next()
		if err != nil {
			return a.CauseOf(unexpectedEOF(err), outcome.StreamStalled), err
		}
		end, mustParse := front.InspectEvent(data)
		if mustParse {
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

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, because the stream ended without its end marker.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// awaitFirstToken reads up to the first token and forwards it once the response is granted to this attempt. Events before it are
// buffered, because the attempt may still fail and be retried at another engine.
func (a *Attempt) awaitFirstToken(events *http1.EventReader, sink Sink, result *Result) (outcome.Cause, error) {
	var buffered [][2][]byte
	for bufferedBytes := 0; ; {
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
		if bufferedBytes += len(raw); bufferedBytes > a.Client.MaxEvent {
			return outcome.MalformedResponse, http1.ErrEventTooLong
		}
		buffered = append(buffered, [2][]byte{bytes.Clone(data), bytes.Clone(raw)})
		if !chunk.Token {
			continue
		}
		if !sink.RequestGrant() {
			return a.CauseOf(nil, outcome.ConnectionBroken), nil
		}
		result.Evidence.Progress = outcome.Streaming
		for i, e := range buffered {
			if err := sink.Event(e[0], e[1], i+1 < len(buffered)); err != nil {
				return sinkCause(err), err
			}
		}
		return outcome.ResponseComplete, nil
	}
}

// sinkCause returns the cause of a Sink's error.
func sinkCause(err error) outcome.Cause {
	if errors.Is(err, ErrUnusableResponse) {
		return outcome.MalformedResponse
	}
	return outcome.ClientDisconnected
}
