package relay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// attempt is one attempt at an engine.
type attempt struct {
	protocol.AttemptControl
	engines            *Engines
	spec               protocol.AttemptSpec
	id, method, target string
	fields             []http1.Field // header fields of the client's request, without its id and time left
	newConnection      bool          // an idle connection must not be reused
	body               []byte
	client             *http1.Exchange
	loadReport         string // text of the latest load report in the stream
}

// Run makes the attempt.
func (a *attempt) Run(observer protocol.AttemptObserver) protocol.Result {
	result := protocol.Result{}
	conn, response := a.open(&result)
	if conn == nil {
		return result
	}
	if response.Status == 200 {
		a.streamResponse(conn, response, observer, &result)
	} else {
		a.readCompleteResponse(conn, response, &result)
	}
	return result
}

// open connects, writes the request and reads the head of the response. If the attempt ends before that, open returns nil and result
// holds its progress and cause.
func (a *attempt) open(result *protocol.Result) (*http1.ClientConn, *http1.Response) {
	start := time.Now()
	deadline := start.Add(a.spec.Timeout)
	result.Evidence.Progress = outcome.Connecting
	connectTimeout := a.spec.Timeout
	if !a.spec.WriteBy.IsZero() {
		connectTimeout = max(time.Millisecond, min(connectTimeout, time.Until(a.spec.WriteBy)))
	}
	conn, err := a.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
		return a.engines.connection(ctx, a.spec.Address, connectTimeout, a.newConnection)
	})
	if err != nil {
		result.Err, result.Evidence.Cause = err, a.CauseOf(err, outcome.ConnectionBroken)
		if errors.Is(err, http1.ErrPoolFull) {
			result.Evidence.Progress = outcome.NotStarted
		}
		return nil, nil
	}
	window, hasWindow := protocol.TimeUntil(a.spec.WriteBy)
	write := permit.Write{ClientDisconnected: a.client != nil && a.client.ClientDisconnected(),
		ClientTimeLeft: time.Until(a.spec.ClientDeadline).Seconds(), HasDedupWindow: hasWindow, DedupWindowLeft: window}
	if a.CancelUnlessPermitted(write, result) {
		conn.Close()
		return nil, nil
	}
	timeLeft := max(minTimeLeft, time.Until(a.spec.ClientDeadline).Seconds())
	fields := []http1.Field{{Name: headerID, Value: a.id},
		{Name: headerTimeLeft, Value: strconv.FormatFloat(timeLeft, 'f', 3, 64)}}
	message := protocol.Message{Method: a.method, Target: a.target, Fields: append(fields, a.fields...), Body: a.body}
	response := a.Exchange(conn, deadline, message, result)
	a.body, a.fields = nil, nil // not retained while the response streams
	if response == nil {
		if result.Evidence.Cause == outcome.ConnectionBroken {
			a.engines.observeLoss(conn)
		}
		return nil, nil
	}
	result.Report = parseLoadReport(response.Header.Get(headerLoad))
	return conn, response
}

// minTimeLeft is the smallest time left that is sent to an engine, in seconds.
const minTimeLeft = 0.001

// maxResponse bounds responses that are not streamed, in bytes.
const maxResponse = 64 << 10

// readCompleteResponse reads a response that is not streamed: a finished prefill, a rejection or an error. The head alone determines
// the outcome, except for an engine error, which also gets a cause if its body cannot be read.
func (a *attempt) readCompleteResponse(conn *http1.ClientConn, response *http1.Response, result *protocol.Result) {
	rejected := response.Header.Get(headerRejected) == "1"
	switch {
	case response.Status == 202:
		result.Evidence.ResponseKind = outcome.PrefillDone
	case response.Status == 410 && rejected:
		result.Evidence.ResponseKind = outcome.StateMissing
	case (response.Status == 503 || response.Status == 504) && rejected:
		result.Evidence.ResponseKind = outcome.EngineRejected
	default:
		result.Evidence.ResponseKind = outcome.EngineError
	}
	conn.LimitDeadline(a.engines.pool.Head) // the head has determined the outcome; reading the body must not use up the request's time
	body, err := response.ReadAll(maxResponse)
	a.Detach()
	if err != nil {
		conn.Close()
		result.Err = err
		if result.Evidence.ResponseKind == outcome.EngineError {
			result.Evidence.Cause = a.CauseOf(err, outcome.AttemptTimedOut)
		}
		return
	}
	conn.CompletedPrefill = conn.CompletedPrefill || result.Evidence.ResponseKind == outcome.PrefillDone
	a.engines.pool.PutAfter(conn, response)
	if result.Evidence.ResponseKind == outcome.PrefillDone {
		result.Evidence.CachedTokens = cachedTokens(body)
	} else if result.Evidence.ResponseKind == outcome.EngineError {
		result.Err = fmt.Errorf("status %d: %s", response.Status, truncate(strings.TrimSpace(string(body))))
	}
}
