package cli

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/internal/service"
)

// serveRelay runs a node on the users' platform until SIGTERM or SIGINT.
func serveRelay(level string, errOut io.Writer) error {
	signals := notifySignals() // called first, because an early signal must not end the program
	defer signals.stop()
	if new(slog.LevelVar).UnmarshalText([]byte(level)) != nil {
		return withExitCode(ExitUsage, fmt.Errorf("--log %s: must be debug, info, warn or error", level))
	}
	cfg, err := loadRelayConfig()
	if err != nil {
		return withExitCode(ExitConfig, err)
	}
	logWriter := newLogWriter(errOut)
	defer logWriter.Close()
	log, _ := newLogger(logWriter, config.Log{Level: level, Format: "text"})
	limitRuntime(cfg.Limits)
	n, err := startRelayNode(cfg, log)
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	log.Info("relay node started", "name", cfg.Name, "listen", cfg.Listen, "discovery", cfg.Discovery, "cores", cfg.Limits.Cores,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets)
	s := &supervisor{signals: signals, failed: n.Failed(), notify: func(...string) {},
		reload: newReloader(log, func() error { return reloadRelay(n, log) })}
	signal, failure := s.serve()
	if signal != nil {
		log.Info("graceful shutdown started", "signal", signal.String())
	}
	s.shutdown(shutdownHooks{
		run: func() { n.ShutdownBy(relay.ShutdownTimeout(cfg.Settings.LongestClientTimeout), node.MaxStreamDrain) },
		signal: func(s os.Signal) {
			if isInterrupt(s) {
				n.RespondNow()
			}
		},
		reloads: true, // attempts are still made, and a new discovery address may list engines as draining
	})
	log.Info("shutdown completed")
	return withExitCode(ExitRun, failure)
}

// loadRelayConfig loads the configuration. It retries system calls that fail for a transient reason, for up to startTimeout.
func loadRelayConfig() (cfg *relay.Config, err error) {
	err = service.RetryTransient(startTimeout, func() (err error) {
		cfg, err = relay.Load(os.Getenv)
		return err
	})
	return cfg, err
}

// startRelayNode starts the node. It retries system calls that fail for a transient reason, for up to startTimeout.
func startRelayNode(cfg *relay.Config, log *slog.Logger) (n *node.RelayNode, err error) {
	err = service.RetryTransient(startTimeout, func() (err error) {
		n, err = node.StartRelay(cfg, node.WithLogger(log))
		return err
	})
	return n, err
}

// reloadRelay loads the current configuration and applies it.
func reloadRelay(n *node.RelayNode, log *slog.Logger) error {
	next, err := relay.Load(os.Getenv)
	if err != nil {
		return err
	}
	n.Reload(next)
	log.Info("configuration reloaded", "discovery", next.Discovery)
	return nil
}

// limitRuntime limits the Go runtime to the cores and the memory that the platform allows.
func limitRuntime(l relay.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Budget().HeapLimit)
	}
}
