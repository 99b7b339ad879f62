package cli

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dillroute/internal/service"
)

// signals are those that a node takes. Each kind has a queue of its own: many new configurations in a row must not take the place of
// the word to stop.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal // one that waits stands for all: the file is read as it is then
}

// takeSignals has signals no longer end the process, but wait to be taken.
func takeSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 4), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// giveBack ends the taking.
func (s *signals) giveBack() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// reloadFor is for how long a new configuration that cannot be read is tried again: a file table may be full in the moment of
// SIGHUP, or the file be half written. It is no longer than it takes until what discovery has to tell counts as told (DAYS, new
// configurations).
const reloadFor = 4 * time.Second

// reloader takes new configurations, and tries again where one cannot be read. Each is read on a goroutine of its own, one at a time:
// a file system may hang, and whoever waits for signals must not wait for it. All else belongs to that goroutine of the signals.
type reloader struct {
	log     *slog.Logger
	take    func() error // reads the configuration and takes it
	ended   chan error   // of the taking that runs
	running bool
	again   bool // there is a newer configuration than the one that is being taken
	timer   *time.Timer
	pause   time.Duration
	until   time.Time
}

// newReloader returns a reloader for which nothing is to be read.
func newReloader(log *slog.Logger, take func() error) *reloader {
	r := &reloader{log: log, take: take, ended: make(chan error, 1), timer: time.NewTimer(time.Hour)}
	r.timer.Stop()
	return r
}

// Due fires when the configuration is to be tried again.
func (r *reloader) Due() <-chan time.Time { return r.timer.C }

// Ended tells how a taking has ended; the error is for Conclude.
func (r *reloader) Ended() <-chan error { return r.ended }

// Ask is told that there is a new configuration.
func (r *reloader) Ask() {
	r.pause, r.until = service.MinBackoff, time.Now().Add(reloadFor)
	r.Try()
}

// Try begins to take the configuration as it is now.
func (r *reloader) Try() {
	r.timer.Stop()
	if r.running {
		r.again = true
		return
	}
	r.running = true
	go func() { r.ended <- r.take() }()
}

// Conclude is told how a taking has ended, and has Due fire where the configuration cannot be read yet.
func (r *reloader) Conclude(err error) {
	r.running = false
	switch {
	case r.again:
		r.again = false
		r.Ask()
	case err == nil:
	case time.Now().Add(r.pause).After(r.until):
		r.log.Error("configuration not taken, the old one stays", "error", err.Error())
	default:
		r.log.Warn("configuration not read yet, it is tried again", "error", err.Error(), "pause", r.pause)
		r.timer.Reset(r.pause)
		r.pause = min(2*r.pause, service.MaxBackoff)
	}
}
