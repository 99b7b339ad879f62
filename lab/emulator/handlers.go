package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"dillroute/lab/record"
)

// modelList is the response to GET /v1/models.
const modelList = `{"object":"list","data":[{"id":"standin","object":"model","created":0,"owned_by":"lab"}]}`

// handler returns the HTTP handler of one process of the engine.
func (e *Engine) handler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleChat(p, w, r) })
	mux.HandleFunc("POST /v1/kv/release", func(w http.ResponseWriter, r *http.Request) { e.handleRelease(p, w, r) })
	mux.HandleFunc("GET /lab/kv/{id}", func(w http.ResponseWriter, r *http.Request) { e.handleFetch(p, w, r) })
	mux.HandleFunc("POST /lab/fault", e.handleFaults)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.handleMetrics(p, w) })
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, modelList) })
	return mux
}

// handleChat serves a chat request for the prefill stage, the decode stage or both.
func (e *Engine) handleChat(p *process, w http.ResponseWriter, r *http.Request) {
	p.handlers.Add(1)
	defer p.handlers.Done()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request is not run
	}
	var parsed request
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Messages) == 0 {
		respondError(w, http.StatusBadRequest, "invalid_request", "not a chat request")
		return
	}
	j := &job{
		engine:    e,
		process:   p,
		response:  w,
		request:   &parsed,
		ctx:       r.Context(),
		requestID: r.Header.Get("X-Request-Id"),
		node:      sendingNode(r),
		digest:    Digest(parsed.Messages),
		tokens:    tokensOf(parsed.Messages),
		prefill:   parsed.Transfer != nil && parsed.Transfer.DoRemoteDecode,
	}
	j.record(record.AttemptArrived, "")
	if j.injectRequestFault() {
		return
	}
	e.addLoadReport(p, w)
	switch {
	case j.prefill && e.Role == roleDecode:
		j.reject(http.StatusBadRequest, "wrong_role", "this engine does not prefill")
	case j.prefill:
		j.servePrefill()
	case e.Role == rolePrefill:
		j.reject(http.StatusBadRequest, "wrong_role", "this engine does not decode")
	default:
		j.serveDecode()
	}
}

// handleFaults replaces the engine's faults with those in the body.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		respondError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.SetFaults(faults)
	fmt.Fprintln(w, "{}")
}

// respondError responds with an error in the format of the chat API.
func respondError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{
		"error": map[string]any{"message": message, "type": "engine_error", "param": nil, "code": code},
	})
}

// sendingNode returns the name of the node that sent a request, from the Via header field.
func sendingNode(r *http.Request) string {
	_, name, _ := strings.Cut(r.Header.Get("Via"), " ")
	return name
}
