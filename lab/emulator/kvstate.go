package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dillroute/lab/record"
)

// kvState is the KV state of a prompt, stored until a decode engine fetches it.
type kvState struct {
	digest uint64
	tokens int
	mark   Mark

	fetches int // number of fetches in progress; guarded by process.mu
}

// releasedIDs holds the most recent ids that were released before they had a state. A prefill for one of them that ends later stores no
// state.
type releasedIDs struct {
	ids  [256]string
	next int
}

func (r *releasedIDs) add(id string) {
	r.ids[r.next%len(r.ids)] = id
	r.next++
}

func (r *releasedIDs) contains(id string) bool { return slices.Contains(r.ids[:], id) }

// loseStates drops all states, because their process has ended.
func (e *Engine) loseStates(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, state := range p.states {
		e.recordStateEnd(id, state, "died")
		delete(p.states, id)
		p.memoryTokens -= state.tokens
	}
}

// endState drops a state if it exists, and reports whether it did.
func (e *Engine) endState(p *process, id, cause string) bool {
	p.mu.Lock()
	state, found := p.states[id]
	if found {
		delete(p.states, id)
		p.memoryTokens -= state.tokens
		p.capacityChanged.Broadcast()
	}
	p.mu.Unlock()
	if found {
		e.recordStateEnd(id, state, cause)
	}
	return found
}

func (e *Engine) recordStateEnd(id string, state *kvState, cause string) {
	e.log.Add(record.Record{
		Kind:    record.StateEnded,
		Engine:  e.ID,
		State:   id,
		Op:      state.mark.Operation,
		Attempt: state.mark.Attempt,
		Note:    cause,
	})
}

// maxReleaseBytes bounds the body of a release call.
const maxReleaseBytes = 1 << 16

// handleRelease serves a state release call. If the state is being fetched, the call is acknowledged and has no effect.
func (e *Engine) handleRelease(p *process, w http.ResponseWriter, r *http.Request) {
	if e.ReleaseUnsupported {
		respondError(w, http.StatusNotFound, "unknown_path", "no such call")
		return
	}
	var body struct {
		ID string `json:"request_id"`
	}
	if json.NewDecoder(io.LimitReader(r.Body, maxReleaseBytes)).Decode(&body) != nil || body.ID == "" {
		respondError(w, http.StatusBadRequest, "invalid_request", "request_id is missing")
		return
	}
	p.mu.Lock()
	state, found := p.states[body.ID]
	fetched := found && state.fetches > 0
	if !found {
		p.released.add(body.ID)
	}
	p.mu.Unlock()
	if !fetched {
		e.endState(p, body.ID, "released")
	}
	io.WriteString(w, "{}")
}

// beginFetch returns a state to be fetched, and protects it from release calls until endFetch.
func (p *process) beginFetch(id string) (state *kvState, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, found = p.states[id]
	if found {
		state.fetches++
	}
	return state, found
}

func (p *process) endFetch(state *kvState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state.fetches--
}

// handleFetch sends a state to the engine that fetches it. The state is dropped once it has been transferred completely.
func (e *Engine) handleFetch(p *process, w http.ResponseWriter, r *http.Request) {
	p.handlers.Add(1)
	defer p.handlers.Done()
	id := r.PathValue("id")
	if e.faults.Load().Silent {
		respondError(w, http.StatusNotFound, "kv_state_not_found", "no such state")
		return
	}
	state, found := p.beginFetch(id)
	if !found {
		respondError(w, http.StatusNotFound, "kv_state_not_found", "no such state")
		return
	}
	defer p.endFetch(state)
	slowerBy, _ := strconv.ParseFloat(r.URL.Query().Get("slower"), 64)
	transfer := float64(state.tokens) / e.TransferTokensPerSecond * max(1, slowerBy) * max(1, e.faults.Load().TransferSlowFactor)
	if !sleep(r.Context(), seconds(transfer)) {
		return
	}
	e.endState(p, id, record.StateFetched)
	json.NewEncoder(w).Encode(map[string]any{"digest": state.digest, "tokens": state.tokens})
}

// stateClient fetches states from other engines.
var stateClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second}}

// CloseIdleConnections closes the idle connections that all engines share to fetch states from each other.
func CloseIdleConnections() { stateClient.CloseIdleConnections() }

// fetchTimeout bounds the transfer of a state.
const fetchTimeout = 10 * time.Second

// Errors of a fetch. The response to the router contains their text.
var (
	errNoStateAddress = errors.New("the transfer parameters name no place")
	errStateMissing   = errors.New("the state is not there")
)

// fetchState fetches the KV state from the prefill engine, and returns the digest of the state's prompt.
func (j *job) fetchState() (uint64, error) {
	transfer := j.request.Transfer
	if transfer.Host == nil || transfer.Port == nil {
		return 0, errNoStateAddress
	}
	ctx, cancel := context.WithTimeout(j.ctx, fetchTimeout)
	defer cancel()
	if faults := j.engine.faults.Load(); transfer.EngineID != nil && faults.unreachable(*transfer.EngineID) {
		return 0, fmt.Errorf("%s cannot be reached", *transfer.EngineID)
	}
	url := fmt.Sprintf("http://%s:%d/lab/kv/%s", *transfer.Host, *transfer.Port, j.requestID)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := stateClient.Do(call)
	if err != nil {
		return 0, fmt.Errorf("the state cannot be fetched: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		io.Copy(io.Discard, response.Body)
		return 0, errStateMissing
	}
	var state struct {
		Digest uint64 `json:"digest"`
	}
	err = json.NewDecoder(response.Body).Decode(&state)
	return state.Digest, err
}
