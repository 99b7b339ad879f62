// Package engine is the client of prefill and decode engines for the chat protocol: OpenAI-style endpoints with the KV transfer
// parameters of vLLM's disaggregated serving. It reports what was observed on the socket; internal/decide/outcome determines the
// outcome from it. internal/openai makes its attempts.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"dillroute/internal/http1"
)

// Client sends attempts to engines. It is safe for concurrent use.
type Client struct {
	Pool           *http1.Pool
	Node           string               // node's name in the Via header field
	Key            string               // bearer key for the engines; "" = none
	ConnectTimeout time.Duration        // timeout for making a connection
	StallTimeout   func() time.Duration // returns the time without an event after which a stream counts as broken; called for each event
	MaxEvent       int                  // maximum size of one event, in bytes
}

// maxResponse bounds responses of engines that are not streamed (states, errors), in bytes.
const maxResponse = 1 << 20

// StateID returns the id of a prefilled state at the engines. It differs for each prefill attempt of a request.
func StateID(id string, attempt int) string { return id + "." + strconv.Itoa(attempt) }

// CloseExpired closes connections whose idle timeout has expired.
func (client *Client) CloseExpired() { client.Pool.CloseExpired() }

// CloseIdle closes all idle connections.
func (client *Client) CloseIdle() { client.Pool.CloseIdle() }

// Close closes all idle connections; connections that become idle later are closed as well.
func (client *Client) Close() { client.Pool.Close() }

// releaseTimeout bounds a call that releases a state.
const releaseTimeout = 2 * time.Second

// ReleaseError is the response of an engine that possibly has not released the state. The release call should be repeated.
type ReleaseError struct{ Status int }

// Error implements error.
func (e *ReleaseError) Error() string {
	return fmt.Sprintf("engine: status %d in response to a state release", e.Status)
}

// releaseError returns an error if the status of a response to a release call means that the engine has not released the state yet.
// An engine that does not support the call, or does not know the state, returns no error: repeating the call would change nothing.
func releaseError(status int) error {
	switch {
	case status == statusNotImplemented:
		return nil
	case status >= statusInternalServerError, status == statusTooManyRequests, status == statusRequestTimeout:
		return &ReleaseError{Status: status}
	}
	return nil
}

// Statuses of responses to release calls.
const (
	statusRequestTimeout      = 408
	statusTooManyRequests     = 429
	statusInternalServerError = 500
	statusNotImplemented      = 501
)

// Release releases a prefilled state by POST /v1/kv/release, an extension of this project. Engines that lack it respond with 404 and
// free the state after their own timeout.
func (client *Client) Release(address, id string, attempt int, _ time.Duration) error {
	conn, err := client.Pool.Get(context.Background(), address, client.ConnectTimeout)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(releaseTimeout))
	body, _ := json.Marshal(map[string]string{"request_id": StateID(id, attempt)})
	fields := []http1.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Via", Value: "1.1 " + client.Node}}
	if client.Key != "" {
		fields = append(fields, http1.Field{Name: "Authorization", Value: "Bearer " + client.Key})
	}
	if _, _, err = conn.Send("POST", "/v1/kv/release", fields, body); err == nil {
		var response *http1.Response
		if response, err = conn.ReadResponse(); err == nil {
			if _, err = response.ReadAll(maxResponse); err == nil {
				client.Pool.PutAfter(conn, response)
				return releaseError(response.Status)
			}
		}
	}
	conn.Close()
	return err
}
