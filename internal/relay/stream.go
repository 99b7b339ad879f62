package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

const (
	// streamStallTimeout is the time without a byte of an event after which an engine's stream counts as broken. The client's connection
	// must end within 5 s after the last event of a running engine (PROTOCOL, figures), also if the node is held up for 0.15 s.
	streamStallTimeout = 4850 * time.Millisecond
	// maxEventTime is the longest time that an engine may take to write one event.
	maxEventTime = 30 * time.Second
)

// finalEvent is the data of the event that ends a stream (PROTOCOL, nodes to engines).
const finalEvent = "[DONE]"

// Errors of incomplete or missing streams.
var (
	errNoStream     = errors.New("relay: status 200 without a stream")
	errNoEvent      = errors.New("relay: stream without an event")
	errNoFinalEvent = errors.New("relay: stream ended without its final event")
	// errStrayStream means that a process that has finished prefills responds to one with a stream: a late second response to an earlier
	// request, or the response to this one. Nothing in it names its request.
	errStrayStream = errors.New("relay: stream in response to a prefill, on a connection with a finished prefill")
)

// streamResponse forwards the stream of the engine to the client.
func (a *attempt) streamResponse(conn *http1.ClientConn, response *http1.Response, observer protocol.AttemptObserver,
	result *protocol.Result) {
	result.Evidence.DecodeHeader = true
	switch {
	case !isStream(response):
		result.Evidence.Cause, result.Err = outcome.MalformedResponse, errNoStream
	case a.spec.Stage == outcome.Prefill && result.Evidence.PrefillProcess:
		result.Evidence.Cause, result.Err = outcome.MalformedResponse, errStrayStream
	default:
		result.Evidence.Cause, result.Err = a.forwardEvents(conn, response, observer, result)
	}
	a.Detach()
	if result.Evidence.Cause != outcome.ResponseComplete {
		conn.Close()
		return
	}
	result.Evidence.ResponseKind = outcome.DecodeDone
	if rep := parseLoadReport(a.loadReport); rep != nil {
		result.Report = rep
	}
	a.engines.pool.PutAfter(conn, response)
}

// isStream reports whether a response with status 200 is a stream that an attempt can forward. An engine also responds to a prefill with a
// stream, if it is no longer the prefill engine that the endpoint list names.
func isStream(response *http1.Response) bool {
	contentType := strings.ToLower(response.Header.Get("Content-Type"))
	return response.Chunked && strings.HasPrefix(contentType, "text/event-stream")
}

// forwardEvents forwards events until the engine's stream ends or breaks, or a write to the client fails.
func (a *attempt) forwardEvents(conn *http1.ClientConn, response *http1.Response, observer protocol.AttemptObserver,
	result *protocol.Result) (outcome.Cause, error) {
	events := http1.NewEventReader(response.Body, maxEvent)
	defer events.Close()
	events.Comment = a.readComment
	stall := http1.StallDeadline{Conn: conn, Stall: streamStallTimeout, MaxEvent: maxEventTime}
	events.Progress = stall.Progress
	var pending []byte
	final := false // the final event has arrived
	for begun := false; ; begun = true {
		data, raw, err := events.Next()
		if err != nil {
			return a.endStream(endOfStream(err, begun, final), begun, pending)
		}
		final = string(data) == finalEvent
		if !begun {
			if cause, err := a.beginStream(data, observer, result); cause != outcome.ResponseComplete {
				return cause, err
			}
		}
		stall.EventEnded()
		if cached, ok := usageTokens(data); ok {
			result.Evidence.CachedTokens = cached
		}
		if pending = append(pending, raw...); events.More() && len(pending) < maxWrite {
			continue
		}
		if _, err := a.client.Write(pending); err != nil {
			return outcome.ClientDisconnected, err
		}
		pending = pending[:0]
	}
}

// endOfStream returns the error that ends a stream: io.EOF if the stream is complete. After the final event, the standard discards what is
// left of an event that the body does not end.
func endOfStream(err error, begun, final bool) error {
	switch {
	case final && err == http1.ErrIncompleteEvent:
		return io.EOF
	case begun && !final && err == io.EOF:
		return errNoFinalEvent
	}
	return err
}

// beginStream begins the response to the client after the engine's first event, once the response is granted to this attempt. Any cause
// other than ResponseComplete ends the attempt.
func (a *attempt) beginStream(first []byte, observer protocol.AttemptObserver, result *protocol.Result) (outcome.Cause, error) {
	if !isJSONObject(first) {
		return outcome.MalformedResponse, errNoEvent
	}
	if !observer.RequestGrant() {
		return a.CauseOf(nil, outcome.ConnectionBroken), nil
	}
	result.Evidence.Progress = outcome.Streaming
	a.MarkStreaming()
	if err := a.client.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
		return outcome.ClientDisconnected, err
	}
	return outcome.ResponseComplete, nil
}

// Bounds of a stream, in bytes.
const (
	maxEvent = 128 << 10 // one event
	maxWrite = 8 << 10   // pending events: from this size on they are written, even if more events are buffered
)

// endStream writes the pending events. If err is io.EOF, the engine's stream was complete, and endStream completes the response.
// Otherwise it returns the cause of err, which broke the stream.
func (a *attempt) endStream(err error, begun bool, pending []byte) (outcome.Cause, error) {
	if begun && len(pending) > 0 {
		if _, werr := a.client.Write(pending); werr != nil {
			return outcome.ClientDisconnected, werr
		}
	}
	if err != io.EOF {
		timeout := outcome.AttemptTimedOut
		if begun {
			timeout = outcome.StreamStalled
		}
		return a.CauseOf(err, timeout), err
	}
	if !begun {
		return outcome.MalformedResponse, errNoEvent
	}
	if err := a.client.End(); err != nil {
		return outcome.ClientDisconnected, err
	}
	return outcome.ResponseComplete, nil
}

// readComment records the load report if a comment of the stream has one.
func (a *attempt) readComment(line []byte) {
	text := strings.TrimSpace(strings.TrimPrefix(string(line), ":"))
	if name, value, ok := strings.Cut(text, ":"); ok && strings.EqualFold(strings.TrimSpace(name), headerLoad) {
		a.loadReport = strings.TrimSpace(value)
	}
}

// isJSONObject reports whether data is a JSON object, as the first event of a response must be.
func isJSONObject(data []byte) bool { return len(data) > 1 && data[0] == '{' && json.Valid(data) }

// usageKey is the quoted name of the member with the token counts.
var usageKey = []byte(`"usage"`)

// usageTokens returns the number of cached prompt tokens from an event with token counts; ok is false for any other event.
func usageTokens(data []byte) (cached int, ok bool) {
	if !bytes.Contains(data, usageKey) {
		return 0, false
	}
	var b struct {
		Usage *struct {
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &b) != nil || b.Usage == nil {
		return 0, false
	}
	if c := b.Usage.Details.Cached; c >= 0 && c <= maxTokens {
		return int(c), true
	}
	return 0, true
}
