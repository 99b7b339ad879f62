package emulator

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// A release call during a fetch is acknowledged but does not release the state. A router must not take the acknowledgment
// for a release.
func TestReleaseDuringAFetchHasNoEffect(t *testing.T) {
	e := New(Settings{ID: "p", Role: rolePrefill, TransferTokensPerSecond: 100}, nil)
	if err := e.Start(false); err != nil {
		t.Fatal(err)
	}
	defer e.Kill()
	p := e.process
	p.mu.Lock()
	p.states["a"] = &kvState{tokens: 50}
	p.memoryTokens += 50
	p.mu.Unlock()
	hasState := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.states["a"] != nil
	}
	release := func() int {
		response, err := http.Post("http://"+e.address+"/v1/kv/release", "application/json", strings.NewReader(`{"request_id":"a"}`))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	state, _ := p.beginFetch("a")
	if status := release(); status != http.StatusOK || !hasState() {
		t.Errorf("release during a fetch: got status %d, state stored %v, want status 200 and true", status, hasState())
	}
	p.endFetch(state)
	if status := release(); status != http.StatusOK || hasState() {
		t.Errorf("release after the fetch: got status %d, state stored %v, want status 200 and false", status, hasState())
	}
}
