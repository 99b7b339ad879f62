package simulation

import "time"

const (
	// transferTokensPerSecond is the speed at which a state is transferred within a cell.
	transferTokensPerSecond = 200e3
	// crossCellFactor is the duration of a transfer between cells, as a multiple of the duration within a cell.
	crossCellFactor = 3
	// minPrefillTokens is the minimum number of tokens that count for a prefill, even if nearly all tokens of the prompt are cached.
	minPrefillTokens = 16
	// minEventTokens is the minimum number of tokens per event of a stream, unless fewer are left or eventInterval requires fewer.
	minEventTokens = 6
	// maxEvents is the number of events into which a long response is divided. Rounding and eventInterval can lead to more events.
	maxEvents = 8
	// eventInterval is the maximum time between two events (s), unless a single token takes longer.
	eventInterval = 1.0
)

// attemptOutcome is how an attempt at an engine ended.
type attemptOutcome int

const (
	completed        attemptOutcome = iota // the prompt was processed, or the response was streamed to its end
	rejectedByEngine                       // it never ran
	stateNotFound                          // the engine no longer stores the state to be fetched: it never ran
	failedAtEngine                         // an error: it may have run
	connectionBroken                       // no response arrived: it may have run
)

// faultOutcome returns the outcome of an attempt that an engine does not process, because of a fault or because it is down; false = the
// engine processes it.
func (e *engine) faultOutcome(s engineState, canceled <-chan struct{}) (attemptOutcome, bool) {
	switch {
	case !s.up:
		return connectionBroken, true
	case s.unresponsive():
		return awaitEnd(s.exited, canceled), true
	case s.fault == RejectsAll:
		return rejectedByEngine, true
	case s.fault == FailsAll:
		return failedAtEngine, true
	}
	return completed, false
}

// awaitEnd waits until the process ends or the request is canceled.
func awaitEnd(exited, canceled <-chan struct{}) attemptOutcome {
	select {
	case <-exited:
	case <-canceled:
	}
	return connectionBroken
}

// withSlot acquires a slot, runs work and releases the slot.
func (e *engine) withSlot(exited chan struct{}, canceled <-chan struct{}, work func() attemptOutcome) attemptOutcome {
	switch e.acquireSlot(canceled) {
	case queueFull:
		return rejectedByEngine
	case waitEnded:
		return connectionBroken
	}
	defer e.releaseSlot(exited)
	return work()
}

// workFor waits for the duration of some work (s); false = the process ended or the request was canceled before the work was done. On a
// site where a cancellation does not stop work, the work continues after the client has disconnected.
func (e *engine) workFor(seconds float64, exited, canceled <-chan struct{}) bool {
	if !e.fleet.site.CancelStopsWork {
		canceled = nil
	}
	timer := time.NewTimer(duration(seconds))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-exited:
	case <-canceled:
	}
	return false
}

// prefillSeconds returns the time for processing the prompt of a request (s), and caches its prefix.
func (e *engine) prefillSeconds(q *request) float64 {
	tokens := e.prefillTokens(q)
	return tokens / (e.kind.PrefillTokensPerSecond * e.speed())
}

// prefillTokens returns the number of prompt tokens that are not cached, at least minPrefillTokens, and caches the prompt's prefix.
func (e *engine) prefillTokens(q *request) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := q.promptTokens
	if q.prefix != "" {
		if e.cachedPrefixes[q.prefix] {
			tokens -= q.prefixTokens
		}
		if e.fault != LosesPrefixes {
			e.cachedPrefixes[q.prefix] = true
		}
	}
	return max(minPrefillTokens, tokens)
}

// prefill processes a prompt; the caller reserves its state once it has completed.
func (e *engine) prefill(q *request, canceled <-chan struct{}) attemptOutcome {
	state := e.state()
	if outcome, ended := e.faultOutcome(state, canceled); ended {
		return outcome
	}
	return e.withSlot(state.exited, canceled, func() attemptOutcome {
		if !e.workFor(prefillOverhead+e.prefillSeconds(q), state.exited, canceled) {
			return connectionBroken
		}
		return completed
	})
}

// stream receives the tokens of a response.
type stream interface {
	// start sends the first token; false = it could not be delivered.
	start() bool
	// event sends further tokens; false = they could not be delivered.
	event(tokens int) bool
}

// decode generates a response. owner is the engine that stores its state; nil = this engine has to process the prompt itself.
func (e *engine) decode(q *request, owner *engine, canceled <-chan struct{}, out stream) attemptOutcome {
	state := e.state()
	if outcome, ended := e.faultOutcome(state, canceled); ended {
		return outcome
	}
	cannotPrefill := owner == nil && e.kind.Role == RoleDecode && !e.fleet.site.LocalPrefill
	if cannotPrefill || state.fault == LosesStates && owner != nil {
		return stateNotFound
	}
	return e.withSlot(state.exited, canceled, func() attemptOutcome {
		if !e.workFor(e.secondsToFirstToken(q, owner), state.exited, canceled) || !out.start() {
			return connectionBroken
		}
		return e.streamTokens(q, state.exited, canceled, out)
	})
}

// secondsToFirstToken returns the time for the transfer of the state, or for processing the prompt if there is no state (s).
func (e *engine) secondsToFirstToken(q *request, owner *engine) float64 {
	if owner == nil {
		return prefillOverhead + e.prefillSeconds(q)
	}
	seconds := prefillOverhead + q.promptTokens/transferTokensPerSecond
	if owner.Cell != e.Cell {
		seconds += q.promptTokens / transferTokensPerSecond * (crossCellFactor - 1)
	}
	return seconds
}

// streamTokens generates the tokens of a response, at a speed that decreases with the number of streams.
func (e *engine) streamTokens(q *request, exited, canceled <-chan struct{}, out stream) attemptOutcome {
	for remaining := q.responseTokens; remaining > 0; {
		running, _ := e.occupancy()
		perToken := e.kind.secondsPerToken(running) / e.speed()
		tokens := min(remaining, max(minEventTokens, q.responseTokens/maxEvents), max(1, int(eventInterval/perToken)))
		if !e.workFor(float64(tokens)*perToken, exited, canceled) {
			return connectionBroken
		}
		if f := e.state().fault; f == Hangs || f == Silent {
			return awaitEnd(exited, canceled)
		}
		remaining -= tokens
		if !out.event(tokens) {
			return connectionBroken
		}
	}
	return completed
}
