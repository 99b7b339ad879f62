package cli

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/internal/service"
)

// startFor is for how long a start is tried that fails for a reason which may pass: a node is to be ready within 10 s (STANDING, what
// has to hold).
const startFor = 8 * time.Second

// serveRelay runs a node on the users' platform until SIGTERM or SIGINT.
func serveRelay(level string, errOut io.Writer) error {
	told := takeSignals() // before all else: a signal that comes early must not end the program
	defer told.giveBack()
	if new(slog.LevelVar).UnmarshalText([]byte(level)) != nil {
		return withCode(ExitUsage, fmt.Errorf("--log %s: it is debug, info, warn or error", level))
	}
	var cfg *relay.Config
	err := service.RetryTransient(startFor, func() (err error) {
		cfg, err = relay.Load(os.Getenv)
		return err
	})
	if err != nil {
		return withCode(ExitConfig, err)
	}
	lines := newLogWriter(errOut)
	defer lines.Close()
	log, _ := newLogger(lines, config.Log{Level: level, Format: "text"})
	bindLimits(cfg.Limits)
	var n *node.RelayNode
	err = service.RetryTransient(startFor, func() (err error) {
		n, err = node.StartRelay(cfg, node.WithLogger(log))
		return err
	})
	if err != nil {
		return withCode(ExitRun, err)
	}
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "discovery", cfg.Discovery, "cores", cfg.Limits.Cores,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets)
	reload := newReloader(log, func() error { return reloadRelay(n, log) })
	failure := waitRelay(n, told, reload, log)
	stopped := make(chan struct{})
	go func() {
		n.ShutdownBy(relay.StopBy(cfg.Settings.LongestClientTimeout), node.MaxStreamDrain)
		close(stopped)
	}()
	for {
		select {
		case <-stopped:
			log.Info("stopped")
			return withCode(ExitRun, failure)
		case s := <-told.stop:
			if s == syscall.SIGINT {
				n.RespondNow()
			}
		case <-told.reload: // what drains is told at the new address, while attempts are still made
			reload.Ask()
		case <-reload.Due():
			reload.Try()
		case err := <-reload.Ended():
			reload.Conclude(err)
		}
	}
}

// waitRelay serves until the node is to stop; the error is the module's, if that is why.
func waitRelay(n *node.RelayNode, told *signals, reload *reloader, log *slog.Logger) error {
	for {
		select {
		case err := <-n.Failed():
			return err
		case s := <-told.stop:
			log.Info("stopping", "signal", s.String())
			return nil
		case <-told.reload:
			reload.Ask()
		case <-reload.Due():
			reload.Try()
		case err := <-reload.Ended():
			reload.Conclude(err)
		}
	}
}

// reloadRelay takes the configuration as it is now.
func reloadRelay(n *node.RelayNode, log *slog.Logger) error {
	next, err := relay.Load(os.Getenv)
	if err != nil {
		return err
	}
	n.Reload(next)
	log.Info("configuration read again", "discovery", next.Discovery)
	return nil
}

// bindLimits keeps the runtime within what the platform allows.
func bindLimits(l relay.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Parts().HeapLimit)
	}
}
