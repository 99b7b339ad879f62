package faultyrouter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxDecodeAttempts is the maximum number of decode attempts for one request.
const maxDecodeAttempts = 3

// Paths of the engine API.
const (
	completionsPath = "/v1/chat/completions"
	releasePath     = "/v1/kv/release"
)

// post sends a POST request to an engine.
func (r *Router) post(e *Engine, path string, body []byte, id string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Via", "1.1 "+r.name)
	return r.client.Do(request)
}

// prefill has an engine process the prompt. It returns the kv_transfer_params of the prefilled state, which the engine reserves.
func (r *Router) prefill(e *Engine, m members, id string) (state string, err error) {
	response, err := r.post(e, completionsPath, m.with(map[string]string{
		"stream":             "false",
		"max_tokens":         "1",
		"kv_transfer_params": `{"do_remote_decode":true}`,
	}), id)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("prefill at %s: status %d", e.ID, response.StatusCode)
	}
	var reply struct {
		State json.RawMessage `json:"kv_transfer_params"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return "", err
	}
	return string(reply.State), nil
}

// release releases the state of a request at an engine.
func (r *Router) release(e *Engine, id string) {
	body, _ := json.Marshal(map[string]string{"request_id": id}) // strings always encode
	if response, err := r.post(e, releasePath, body, id); err == nil {
		response.Body.Close()
	}
}

// decodeResult is how a decode attempt ended.
type decodeResult int

const (
	responded   decodeResult = iota // the client received a response, complete or broken
	rejected                        // the engine rejected the attempt
	failed                          // the attempt failed before its first event and may have run
	unreachable                     // no response head was received from the engine
)

// decode streams the response of a decode engine to the client. If an engine rejects the attempt, the next engine is tried.
func (r *Router) decode(w http.ResponseWriter, m members, state, id string, prefillEngine *Engine) {
	for range maxDecodeAttempts {
		e := r.pick("decode")
		if e == nil {
			break
		}
		body := m.with(map[string]string{"stream": "true", "kv_transfer_params": state})
		result := r.decodeAt(w, e, body, id)
		switch {
		case result == responded:
			return
		case result == rejected:
			continue
		case result == failed && r.defect == RepeatsOnce:
			state = "null" // the state is gone; the engine processes the prompt again
			continue
		}
		r.releaseAfterFailure(prefillEngine, id)
		reject(w, http.StatusInternalServerError, r.defect == CallsRetryHarmless)
		return
	}
	r.releaseAfterFailure(prefillEngine, id)
	reject(w, http.StatusServiceUnavailable, true)
}

// decodeAt sends one decode attempt and forwards its stream to the client.
func (r *Router) decodeAt(w http.ResponseWriter, e *Engine, body []byte, id string) decodeResult {
	response, err := r.post(e, completionsPath, body, id)
	if err != nil {
		return unreachable
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return rejected
	default:
		return failed
	}
	events, complete := r.copyStream(w, response.Body)
	switch {
	case complete:
	case events == 0:
		return failed
	default:
		io.WriteString(w, `data: {"error":{"message":"broken","type":"server_error","param":null,"code":"stream_broken"}}`+"\n\n")
	}
	return responded
}

// releaseAfterFailure releases the state of a request that failed, unless the defect is LeavesState.
func (r *Router) releaseAfterFailure(prefillEngine *Engine, id string) {
	if r.defect != LeavesState {
		r.release(prefillEngine, id)
	}
}

// copyStream forwards the events of a stream. It returns how many it forwarded, and whether the last event was among them.
func (r *Router) copyStream(w http.ResponseWriter, body io.Reader) (passed int, complete bool) {
	var pending []byte
	buffer := make([]byte, 4096)
	read := 0
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		for {
			event, rest, found := bytes.Cut(pending, []byte("\n\n"))
			if !found {
				break
			}
			pending = rest
			read++
			if read == 3 && r.defect == SkipsEvent {
				continue
			}
			if r.writeEvent(w, string(event)+"\n\n", passed == 0) {
				return passed + 1, true
			}
			passed++
		}
		if err != nil {
			return passed, false
		}
	}
}

// writeEvent writes an event to the client and reports whether it is the last one.
func (r *Router) writeEvent(w http.ResponseWriter, event string, first bool) (last bool) {
	if first {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	io.WriteString(w, event)
	w.(http.Flusher).Flush()
	last = strings.HasPrefix(event, "data: [DONE]")
	if last && r.defect == AnswersTwice {
		io.WriteString(w, `data: {"choices":[{"index":0,"delta":{"content":"more"}}]}`+"\n\ndata: [DONE]\n\n")
	}
	return last
}
