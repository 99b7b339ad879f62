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
	signals := notifySignals() // before all else: a signal that comes early must not end the program
	defer signals.stop()
	if new(slog.LevelVar).UnmarshalText([]byte(level)) != nil {
		return withExitCode(ExitUsage, fmt.Errorf("--log %s: it is debug, info, warn or error", level))
	}
	cfg, err := loadRelayConfig()
	if err != nil {
		return withExitCode(ExitConfig, err)
	}
	logWriter := newLogWriter(errOut)
	defer logWriter.Close()
	log, _ := newLogger(logWriter, config.Log{Level: level, Format: "text"})
	boundRuntime(cfg.Limits)
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
		run: func() { n.ShutdownBy(relay.StopBy(cfg.Settings.LongestClientTimeout), node.MaxStreamDrain) },
		signal: func(s os.Signal) {
			if isInterrupt(s) {
				n.RespondNow()
			}
		},
		reloads: true, // which engines drain is learned at discovery's new address, while attempts are still made
	})
	log.Info("shutdown completed")
	return withExitCode(ExitRun, failure)
}

// loadRelayConfig reads the configuration, again for a while where a system call fails for a moment.
func loadRelayConfig() (cfg *relay.Config, err error) {
	err = service.RetryTransient(startTimeout, func() (err error) {
		cfg, err = relay.Load(os.Getenv)
		return err
	})
	return cfg, err
}

// startRelayNode starts the node, again for a while where a system call fails for a moment.
func startRelayNode(cfg *relay.Config, log *slog.Logger) (n *node.RelayNode, err error) {
	err = service.RetryTransient(startTimeout, func() (err error) {
		n, err = node.StartRelay(cfg, node.WithLogger(log))
		return err
	})
	return n, err
}

// reloadRelay applies the configuration as it is now.
func reloadRelay(n *node.RelayNode, log *slog.Logger) error {
	next, err := relay.Load(os.Getenv)
	if err != nil {
		return err
	}
	n.Reload(next)
	log.Info("configuration reloaded", "discovery", next.Discovery)
	return nil
}

// boundRuntime keeps the Go runtime within the cores and the memory that the platform allows.
func boundRuntime(l relay.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Parts().HeapLimit)
	}
}
