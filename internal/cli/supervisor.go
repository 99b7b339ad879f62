package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"dillroute/internal/service"
)

// stopQueue is how many stop signals may wait to be received.
const stopQueue = 4

// signalQueues are the signals that a node receives. Each kind has a queue of its own: many reloads in a row must not displace a
// stop.
type signalQueues struct {
	stops   chan os.Signal
	reloads chan os.Signal // one that waits stands for all: the file is read as it is then
}

// notifySignals has SIGTERM, SIGINT and SIGHUP no longer end the process, but wait to be received.
func notifySignals() *signalQueues {
	s := &signalQueues{stops: make(chan os.Signal, stopQueue), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// stop gives the signals back their effect.
func (s *signalQueues) stop() {
	signal.Stop(s.stops)
	signal.Stop(s.reloads)
}

// supervisor reacts to signals and reloads while a node serves and while it shuts down.
type supervisor struct {
	signals *signalQueues
	reload  *reloader
	failed  <-chan error           // the scheduler has failed
	notify  func(states ...string) // reports the state to a service manager
}

// serve returns when the node is to stop: the signal, or the error with which the scheduler failed.
func (s *supervisor) serve() (os.Signal, error) {
	for {
		select {
		case err := <-s.failed:
			return nil, err
		case received := <-s.signals.stops:
			return received, nil
		case <-s.signals.reloads:
			s.notify(service.Reloading)
			s.reload.Request()
		case <-s.reload.RetryDue():
			s.reload.Try()
		case err := <-s.reload.Done():
			s.reload.Finish(err)
			s.notify(service.Ready)
		}
	}
}

// shutdownHooks are what differs between the graceful shutdowns of the two protocols.
type shutdownHooks struct {
	run     func()          // returns when the node has stopped
	signal  func(os.Signal) // a further stop signal was received
	reloads bool            // configurations are still reloaded
}

// shutdown runs the graceful shutdown, and reacts to signals until it has ended.
func (s *supervisor) shutdown(hooks shutdownHooks) {
	var reloads <-chan os.Signal
	var retryDue <-chan time.Time
	var done <-chan error
	if hooks.reloads {
		reloads, retryDue, done = s.signals.reloads, s.reload.RetryDue(), s.reload.Done()
	}
	stopped := make(chan struct{})
	go func() {
		hooks.run()
		close(stopped)
	}()
	for {
		select {
		case <-stopped:
			return
		case received := <-s.signals.stops:
			hooks.signal(received)
		case <-reloads:
			s.reload.Request()
		case <-retryDue:
			s.reload.Try()
		case err := <-done:
			s.reload.Finish(err)
		}
	}
}
