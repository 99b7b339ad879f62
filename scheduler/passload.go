package scheduler

// This file counts the work of a decision pass.

// PassLoad is the size of the latest decision pass, for the host's logs and metrics.
type PassLoad struct {
	OpenRequests int // requests without a final response, after the pass
	Engines      int // engines in the endpoint view
	Evaluations  int // how often an engine was checked or scored for a request
}

// LastPass returns the size of the latest decision pass.
func (s *Scheduler) LastPass() PassLoad {
	return PassLoad{OpenRequests: len(s.openRequests), Engines: len(s.engineList), Evaluations: s.evaluations}
}
