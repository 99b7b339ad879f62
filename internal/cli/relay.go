package cli

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/relay"
)

// serveRelay runs a node on the users' platform until SIGTERM or SIGINT.
func serveRelay(level string, errOut io.Writer) error {
	signals := make(chan os.Signal, 16) // before all else: a signal that comes early must not end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if new(slog.LevelVar).UnmarshalText([]byte(level)) != nil {
		return withCode(ExitUsage, fmt.Errorf("--log %s: it is debug, info, warn or error", level))
	}
	cfg, err := relay.Load(os.Getenv)
	if err != nil {
		return withCode(ExitConfig, err)
	}
	log, _ := newLogger(errOut, config.Log{Level: level, Format: "text"})
	bindLimits(cfg.Limits)
	n, err := node.StartRelay(cfg, node.WithLogger(log))
	if err != nil {
		return withCode(ExitRun, err)
	}
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "discovery", cfg.Discovery, "cores", cfg.Limits.Cores,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets)
	failure := waitRelay(n, signals, log)
	stopped := make(chan struct{})
	go func() {
		n.ShutdownBy(relay.StopBy(cfg.Settings.Patience), node.LongestStop)
		close(stopped)
	}()
	for {
		select {
		case <-stopped:
			log.Info("stopped")
			return withCode(ExitRun, failure)
		case s := <-signals:
			switch s {
			case syscall.SIGINT:
				n.Hurry()
			case syscall.SIGHUP: // what drains is told at the new address, while attempts are still made
				reloadRelay(n, log)
			}
		}
	}
}

// waitRelay serves until the node is to stop; the error is the module's, if that is why.
func waitRelay(n *node.RelayNode, signals <-chan os.Signal, log *slog.Logger) error {
	for {
		select {
		case err := <-n.Failed():
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("stopping", "signal", s.String())
				return nil
			}
			reloadRelay(n, log)
		}
	}
}

// reloadRelay takes the configuration as it is now.
func reloadRelay(n *node.RelayNode, log *slog.Logger) {
	next, err := relay.Load(os.Getenv)
	if err != nil {
		log.Error("configuration not taken, the old one stays", "error", err.Error())
		return
	}
	n.Reload(next)
	log.Info("configuration read again", "discovery", next.Discovery)
}

// bindLimits keeps the runtime within what the platform allows.
func bindLimits(l relay.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Parts().HeapMost)
	}
}
