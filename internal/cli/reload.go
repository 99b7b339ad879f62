package cli

import (
	"log/slog"
	"time"

	"dillroute/internal/service"
)

// reloadTimeout limits the retries of a reload that fails: at the moment of SIGHUP the descriptor table may be full or the file
// half written. It is no longer than the time after which nodes count as notified of a change at discovery (the platform's page
// of days, new configurations).
const reloadTimeout = 4 * time.Second

// reloader applies new configurations and retries after a failure. It reads each on a new goroutine, one at a time: a file system
// may hang, and the goroutine that receives signals must not block on it. Only the latter calls the methods of the reloader.
type reloader struct {
	log            *slog.Logger
	apply          func() error // reads the configuration and applies it
	done           chan error   // delivers the result of each reload
	running        bool
	requestedAgain bool // another reload was requested while one was running
	timer          *time.Timer
	backoff        time.Duration
	deadline       time.Time
}

// newReloader returns an idle reloader.
func newReloader(log *slog.Logger, apply func() error) *reloader {
	r := &reloader{log: log, apply: apply, done: make(chan error, 1), timer: time.NewTimer(time.Hour)}
	r.timer.Stop()
	return r
}

// RetryDue delivers a value when Try is due again.
func (r *reloader) RetryDue() <-chan time.Time { return r.timer.C }

// Done delivers the result of each reload; the caller passes it to Finish.
func (r *reloader) Done() <-chan error { return r.done }

// Request starts a reload, which is retried for up to reloadTimeout from now.
func (r *reloader) Request() {
	r.backoff = service.MinBackoff
	r.deadline = time.Now().Add(reloadTimeout)
	r.Try()
}

// Try starts a reload. If one is already running, another one starts when it has ended.
func (r *reloader) Try() {
	r.timer.Stop()
	if r.running {
		r.requestedAgain = true
		return
	}
	r.running = true
	go func() { r.done <- r.apply() }()
}

// Finish handles the result of a reload. If it failed for any reason, Finish schedules a retry, unless that would be after the deadline.
func (r *reloader) Finish(err error) {
	r.running = false
	switch {
	case r.requestedAgain:
		r.requestedAgain = false
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
