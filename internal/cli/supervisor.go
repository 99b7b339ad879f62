package cli

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"dillroute/internal/service"
)

// stopQueueSize is the number of stop signals that may be pending.
const stopQueueSize = 4

// signalQueues are the signals that a node receives. Stops and reloads have separate queues, because many reloads in a row must not
// displace a stop.
type signalQueues struct {
	stops   chan os.Signal
	reloads chan os.Signal // one pending signal is enough: the file is read when it is handled
}

// notifySignals queues SIGTERM, SIGINT and SIGHUP, which then no longer end the process.
func notifySignals() *signalQueues {
	s := &signalQueues{stops: make(chan os.Signal, stopQueueSize), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// stop restores the signals' default effect.
func (s *signalQueues) stop() {
	signal.Stop(s.stops)
	signal.Stop(s.reloads)
}

// supervisor handles signals and reloads while a node serves and while it shuts down.
type supervisor struct {
	signals *signalQueues
	reload  *reloader
	failed  <-chan error           // delivers the error if the scheduler fails
	notify  func(states ...string) // reports the state to a service manager
}

// serve handles events until the node must stop. It returns the stop signal, or the error with which the scheduler failed.
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

// shutdownHooks are the parts of a graceful shutdown that differ between the two protocols.
type shutdownHooks struct {
	run     func()          // returns when the node has stopped
	signal  func(os.Signal) // called for each further stop signal
	reloads bool            // configurations are still reloaded
}

// shutdown runs the graceful shutdown and handles signals until it has ended.
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
