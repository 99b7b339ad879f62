package scenario

import (
	"time"

	"dillroute/lab/rules"
)

// progressInterval is the time between two calls of Options.Progress.
const progressInterval = time.Second

// Progress is the state of a run in progress.
type Progress struct {
	T, Length           float64 // s
	Ended, ServedInTime int     // operations
	Records             int
	NodesUp, NodeStarts int // nodes that run, and node starts so far
	Violations          int
	SlowStartUse        float64 // greatest share of a slow-start budget that has been used
}

// reportProgress calls Options.Progress periodically until stop is called; stop waits for the goroutine to end.
func (r *run) reportProgress(checker *rules.Checker, counts *tally) (stop func()) {
	quit := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				r.options.Progress(r.currentProgress(checker, counts))
			}
		}
	}()
	return func() {
		close(quit)
		<-ended
	}
}

func (r *run) currentProgress(checker *rules.Checker, counts *tally) Progress {
	var p Progress
	r.log.WithLock(func() {
		p = Progress{
			T:            time.Since(r.start).Seconds(),
			Length:       r.script.LengthSeconds,
			Violations:   checker.ViolationCount(),
			SlowStartUse: checker.SlowStartUse().Share,
		}
		p.Ended, p.ServedInTime = counts.totals()
	})
	p.Records = r.log.Len()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, slot := range r.nodes {
		if slot.node != nil {
			p.NodesUp++
		}
	}
	p.NodeStarts = r.nodeStarts
	return p
}
