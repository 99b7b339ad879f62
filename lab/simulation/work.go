package simulation

import "time"

const (
	// transferTokensPerSecond is the speed at which a state is transferred within a cell.
	transferTokensPerSecond = 200e3
	// crossCellFactor is by how much a transfer between cells takes longer.
	crossCellFactor = 3
	// minPrefillTokens is the least work of a prefill, in tokens, however much of the prompt is cached.
	minPrefillTokens = 16
	// minEventTokens is the least number of tokens of one event of a stream.
	minEventTokens = 6
	// maxEvents is the greatest number of events of a stream, unless they would come less often than every eventInterval.
	maxEvents = 8
	// eventInterval is the longest time between two events (s).
	eventInterval = 1.0
)

// attemptOutcome is how an attempt at an engine ended.
type attemptOutcome int

const (
	completed        attemptOutcome = iota // the prompt was processed, or the response streamed to its end
	rejectedByEngine                       // it never ran
	stateNotFound                          // the state to be fetched is gone: it never ran
	failedAtEngine                         // an error: it may have run
	connectionBroken                       // no response came: it may have run
)

// begin returns how an attempt ends that an engine does not work on; false = it does.
func (e *engine) begin(s engineState, gone <-chan struct{}) (attemptOutcome, bool) {
	switch {
	case !s.up:
		return connectionBroken, true
	case s.unresponsive():
		return awaitEnd(s.dead, gone), true
	case s.fault == RejectsAll:
		return rejectedByEngine, true
	case s.fault == FailsAll:
		return failedAtEngine, true
	}
	return completed, false
}

// awaitEnd waits for the end of the process or of the request.
func awaitEnd(dead, gone <-chan struct{}) attemptOutcome {
	select {
	case <-dead:
	case <-gone:
	}
	return connectionBroken
}

// withSlot does work while it has a slot.
func (e *engine) withSlot(dead chan struct{}, gone <-chan struct{}, work func() attemptOutcome) attemptOutcome {
	switch e.acquireSlot(gone) {
	case queueFull:
		return rejectedByEngine
	case waitEnded:
		return connectionBroken
	}
	defer e.releaseSlot(dead)
	return work()
}

// workFor takes a time (s); false = the process or the request ended before. Where a cancellation does not stop work, the work
// goes on with nobody waiting.
func (e *engine) workFor(seconds float64, dead, gone <-chan struct{}) bool {
	if !e.fleet.site.CancelStopsWork {
		gone = nil
	}
	timer := time.NewTimer(duration(seconds))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-dead:
	case <-gone:
	}
	return false
}

// prefillSeconds returns what the prompt of a request takes, and caches its prefix.
func (e *engine) prefillSeconds(q *request) float64 {
	tokens := e.prefillTokens(q)
	return tokens / (e.kind.PrefillTokensPerSecond * e.speed())
}

// prefillTokens returns the tokens of a prompt that are not cached.
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

// prefill processes a prompt; its state is reserved once that is done.
func (e *engine) prefill(q *request, gone <-chan struct{}) attemptOutcome {
	state := e.state()
	if outcome, ended := e.begin(state, gone); ended {
		return outcome
	}
	return e.withSlot(state.dead, gone, func() attemptOutcome {
		if !e.workFor(prefillOverhead+e.prefillSeconds(q), state.dead, gone) {
			return connectionBroken
		}
		return completed
	})
}

// stream is where the tokens of a response go.
type stream interface {
	// start takes the first token; false = nobody takes it.
	start() bool
	// event takes further tokens; false = nobody takes them.
	event(tokens int) bool
}

// decode makes a response. owner is the engine at which its state waits, nil where this engine has to process the prompt itself.
func (e *engine) decode(q *request, owner *engine, gone <-chan struct{}, out stream) attemptOutcome {
	state := e.state()
	if outcome, ended := e.begin(state, gone); ended {
		return outcome
	}
	mayNotPrefill := owner == nil && e.kind.Role == RoleDecode && !e.fleet.site.LocalPrefill
	if mayNotPrefill || state.fault == LosesStates && owner != nil {
		return stateNotFound
	}
	return e.withSlot(state.dead, gone, func() attemptOutcome {
		if !e.workFor(e.secondsToFirstToken(q, owner), state.dead, gone) || !out.start() {
			return connectionBroken
		}
		return e.streamTokens(q, state.dead, gone, out)
	})
}

// secondsToFirstToken returns the time for the transfer of the state, or for the prompt where there is none.
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

// streamTokens makes the tokens of a response, at a speed that falls with the number of streams.
func (e *engine) streamTokens(q *request, dead, gone <-chan struct{}, out stream) attemptOutcome {
	for remaining := q.responseTokens; remaining > 0; {
		running, _ := e.occupancy()
		perToken := e.kind.secondsPerToken(running) / e.speed()
		tokens := min(remaining, max(minEventTokens, q.responseTokens/maxEvents), max(1, int(eventInterval/perToken)))
		if !e.workFor(float64(tokens)*perToken, dead, gone) {
			return connectionBroken
		}
		if f := e.state().fault; f == Hangs || f == Silent {
			return awaitEnd(dead, gone)
		}
		remaining -= tokens
		if !out.event(tokens) {
			return connectionBroken
		}
	}
	return completed
}
