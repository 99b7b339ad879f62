package cli

import (
	"log/slog"
	"time"

	"dillroute/internal/service"
)

// reloadTimeout is for how long a configuration that cannot be read is retried: the descriptor table may be full in the moment of
// SIGHUP, or the file be half written. It is no longer than it takes until a change at discovery counts as notified (the
// platform's page of days, new configurations).
const reloadTimeout = 4 * time.Second

// reloader applies new configurations, and retries where one cannot be read. Each is read on a goroutine of its own, one at a time:
// a file system may hang, and the goroutine that receives signals must not wait for it. All else belongs to that goroutine.
type reloader struct {
	log      *slog.Logger
	apply    func() error // reads the configuration and applies it
	done     chan error   // the result of the reload that runs
	running  bool
	newer    bool // a newer configuration was requested while one is applied
	timer    *time.Timer
	backoff  time.Duration
	deadline time.Time
}

// newReloader returns a reloader that has nothing to do.
func newReloader(log *slog.Logger, apply func() error) *reloader {
	r := &reloader{log: log, apply: apply, done: make(chan error, 1), timer: time.NewTimer(time.Hour)}
	r.timer.Stop()
	return r
}

// RetryDue fires when Try is due again.
func (r *reloader) RetryDue() <-chan time.Time { return r.timer.C }

// Done gives the result of a reload; it is for Finish.
func (r *reloader) Done() <-chan error { return r.done }

// Request begins to reload, with the whole of the timeout for retries.
func (r *reloader) Request() {
	r.backoff = service.MinBackoff
	r.deadline = time.Now().Add(reloadTimeout)
	r.Try()
}

// Try begins to apply the configuration as it is now.
func (r *reloader) Try() {
	r.timer.Stop()
	if r.running {
		r.newer = true
		return
	}
	r.running = true
	go func() { r.done <- r.apply() }()
}

// Finish files the result of a reload, and schedules a retry where the configuration cannot be read yet.
func (r *reloader) Finish(err error) {
	r.running = false
	switch {
	case r.newer:
		r.newer = false
		r.Request()
	case err == nil:
	case time.Now().Add(r.backoff).After(r.deadline):
		r.log.Error("configuration rejected; keeping the previous one", "error", err.Error())
	default:
		r.log.Warn("configuration not readable; retrying", "error", err.Error(), "backoff", r.backoff)
		r.timer.Reset(r.backoff)
		r.backoff = min(2*r.backoff, service.MaxBackoff)
	}
}
