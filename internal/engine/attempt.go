package engine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// Attempt is one attempt at an engine.
type Attempt struct {
	protocol.AttemptControl
	Client    *Client
	RequestID string // X-Request-Id, which identifies the state at the engines
	Address   string
	Body      []byte
	Forwarded []http1.Field // header fields of the client's request
	Timeout   time.Duration // for the complete prefill, or until the first token
	WriteBy   time.Time     // end of the deduplication window, after which nothing is written; zero = none
}

// Result is what was observed of an attempt.
type Result struct {
	protocol.Result
	State      json.RawMessage // kv_transfer_params of a prefill response
	ErrorBody  []byte          // of a response with a status other than 200
	HTTPStatus int             // of the response; 0 = none was received
}

// open connects, writes the request and reads the head of the response. If the attempt ends before that, open returns nil and result
// holds its progress and cause.
func (a *Attempt) open(accept string, result *Result) (*http1.ClientConn, *http1.Response) {
	start := time.Now()
	result.Evidence.Progress = outcome.Connecting
	conn, err := a.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
		return a.Client.Pool.Get(ctx, a.Address, min(a.Client.ConnectTimeout, a.Timeout))
	})
	if err != nil {
		result.Err, result.Evidence.Cause = err, a.CauseOf(err, outcome.ConnectionBroken)
		return nil, nil
	}
	window, hasWindow := protocol.TimeUntil(a.WriteBy)
	write := permit.Write{ClientTimeLeft: (a.Timeout - time.Since(start)).Seconds(), HasDedupWindow: hasWindow, DedupWindowLeft: window}
	if a.CancelUnlessPermitted(write, &result.Result) {
		conn.Close()
		return nil, nil
	}
	fields := []http1.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Accept", Value: accept},
		{Name: "X-Request-Id", Value: a.RequestID}, {Name: "Via", Value: "1.1 " + a.Client.Node},
		{Name: "Endpoint-Load-Metrics-Format", Value: "JSON"}}
	if a.Client.Key != "" {
		fields = append(fields, http1.Field{Name: "Authorization", Value: "Bearer " + a.Client.Key})
	}
	fields = append(fields, a.Forwarded...)
	message := protocol.Message{Method: "POST", Target: "/v1/chat/completions", Fields: fields, Body: a.Body}
	response := a.Exchange(conn, start.Add(a.Timeout), message, &result.Result)
	a.Body = nil // not retained while the response streams
	if response == nil {
		return nil, nil
	}
	result.HTTPStatus = response.Status
	result.Report = parseLoadReport(response.Header)
	return conn, response
}

// Prefill sends the prompt to a prefill engine. The result holds the parameters by which a decode engine fetches the prefilled state.
func (a *Attempt) Prefill() Result {
	result := Result{}
	conn, response := a.open("application/json", &result)
	if conn == nil {
		return result
	}
	result.Evidence.DecodeHeader = response.Status == 200 && isEventStream(response)
	a.readCompleteResponse(conn, response, &result)
	return result
}

// isEventStream reports whether the body of a response is a stream of server-sent events.
func isEventStream(response *http1.Response) bool {
	return strings.HasPrefix(strings.ToLower(response.Header.Get("Content-Type")), "text/event-stream")
}

// readPrefillResponse reads the state from the body of a response to a prefill. A response without a state is an engine error.
func readPrefillResponse(body []byte, result *Result) {
	var reply struct {
		State json.RawMessage `json:"kv_transfer_params"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		result.Err, result.Evidence.Cause = err, outcome.MalformedResponse
		return
	}
	result.State, result.Evidence.CachedTokens = reply.State, max(0, reply.Usage.Details.Cached)
	if len(reply.State) > 0 && string(reply.State) != "null" {
		result.Evidence.ResponseKind = outcome.PrefillDone
	}
}

// Decode sends the request to a decode engine and streams the response to sink.
func (a *Attempt) Decode(sink Sink) Result {
	result := Result{}
	conn, response := a.open("text/event-stream", &result)
	if conn == nil {
		return result
	}
	if response.Status != 200 {
		a.readCompleteResponse(conn, response, &result)
		return result
	}
	if !isEventStream(response) {
		a.Detach()
		conn.Close()
		result.Evidence.Cause = outcome.MalformedResponse
		return result
	}
	sink.LoadReported(result.Report)
	result.Report = nil // already passed to the sink; it would be stale at the end of the stream
	cause, err := a.streamEvents(conn, response, sink, &result)
	result.Evidence.Cause, result.Err = cause, err
	a.Detach()
	if cause == outcome.ResponseComplete {
		result.Evidence.ResponseKind = outcome.DecodeDone
		a.Client.Pool.PutAfter(conn, response)
	} else {
		conn.Close()
	}
	return result
}
