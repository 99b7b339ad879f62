package scheduler

// stage is where a request stands.
type stage int

const (
	stageQueued     stage = iota // unread, no attempt out
	stagePrefilling              // an attempt is out at a reader
	stagePrefilled               // its state waits at a reader, no attempt is out
	stageDecoding                // an attempt is out at a writer, no token yet
	stageStreaming               // the answer streams
)

// request is an open request, or an ended one of which an attempt is still out. sent, out and
// mayRun are the ledger of its attempts' possible effect.
type request struct {
	Request
	class                            *Class
	arrived, firstTokenDue, deadline float64
	finalResponseDue                 float64 // when the final answer must be given
	overQuota, lowTier, done         bool    // beyond its tenant's share; in the low tier; answered or given up
	stage                            stage
	cancelRequested                  bool    // we called off the attempt out
	attemptsSent, attemptInFlight    int     // attempts made; the number of the one out, or -1
	attemptsUncounted                int     // of those made, which do not count
	mayHaveRun                       bool    // an earlier attempt may have run
	mayHaveRunSince                  float64 // when the first such was sent
	mayHaveRunAt                     *engine // and where
	lastFailedAt                     *engine // at which its last attempt failed
	prefillEngine, decodeEngine      *engine // of the attempt out or of the state; admitted to
	stateReserved                    bool    // a state or place may be held for it
	stateReservedSince               float64 // time of the last outcome or reservation
	sentAt, expected                 float64 // of the attempt out, and how long we think it takes
	uncachedTokens, prefillLoad      float64 // uncached tokens to read; the same with those ahead of it
	cachedTokens                     float64 // tokens that we think the reader has kept
	overtaken                        int     // attempts sent later that its engine has answered before this one
	streamStartedAt                  float64
	streamConcurrency                float64 // streams there when ours began
	transferTokens                   float64 // tokens of this request on a cell's link
}

// without returns xs less q, in a new slice.
func without(xs []*request, q *request) []*request {
	for i, x := range xs {
		if x == q {
			return append(xs[:i:i], xs[i+1:]...)
		}
	}
	return xs
}

// prefillsItself tells of a request that a writer has to read itself.
func prefillsItself(q *request) bool { return q.stage == stageDecoding && !q.stateReserved }
