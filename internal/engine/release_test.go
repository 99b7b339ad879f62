package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dillroute/internal/http1"
)

// Guards against a state that is never released because a response that reports a failed release is taken for success.
func TestFailedStateReleaseIsAnError(t *testing.T) {
	for status, done := range map[int]bool{
		http.StatusOK:                  true,
		http.StatusNoContent:           true,
		http.StatusNotFound:            true, // the engine does not know the call, or the state
		http.StatusMethodNotAllowed:    true,
		http.StatusNotImplemented:      true,
		http.StatusRequestTimeout:      false,
		http.StatusTooManyRequests:     false,
		http.StatusInternalServerError: false,
		http.StatusServiceUnavailable:  false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		client := &Client{Pool: &http1.Pool{Limits: http1.DefaultLimits}, ConnectTimeout: time.Second}
		err := client.Release(server.Listener.Addr().String(), "a", 1, time.Second)
		var refused *ReleaseError
		if done != (err == nil) || !done && (!errors.As(err, &refused) || refused.Status != status) {
			t.Errorf("status %d: got %v, want done %v", status, err, done)
		}
		client.Close()
		server.Close()
	}
}
