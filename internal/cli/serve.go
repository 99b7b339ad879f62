package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"syscall"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/service"

	"github.com/spf13/cobra"
)

// startTimeout limits the retries of a start that fails for a transient reason: a node must be ready within 10 s (the platform's
// standing test).
const startTimeout = 8 * time.Second

// readyPollInterval is the interval at which the readiness of a starting node is checked.
const readyPollInterval = 10 * time.Millisecond

// serveOptions are the flags of serve.
type serveOptions struct {
	file     string
	takeover time.Duration
	relay    bool
	logLevel string // used only with relay
}

func serveCommand() *cobra.Command {
	var options serveOptions
	c := &cobra.Command{
		Use:   "serve --config FILE | --relay",
		Short: "Run a node",
		Long: `Run a node until SIGTERM or SIGINT. The first one starts a graceful shutdown: no more requests are admitted, and those in
flight have up to limits.shutdown_s to finish; a second one responds to them at once. SIGHUP reloads the configuration and
logs what was applied and what requires a restart.

Sockets inherited from a service manager (LISTEN_FDS, names client and admin) are used instead of listen and admin, and
readiness is reported to it (sd_notify). With state_dir, that directory is locked by one process at a time; --takeover waits for
a predecessor, which releases it as soon as its shutdown begins.

With --relay, the node speaks the relay protocol of the users' platform and takes its configuration from there (RELAY_CONFIG,
RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY). The admin listener, state directory and inherited sockets are then not used.

` + exitCodesDoc,
		Example: "  dillroute serve --config examples/node.json\n" +
			"  dillroute serve --config examples/node.json --takeover 1m\n" +
			"  dillroute serve --relay",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return withExitCode(ExitUsage, err)
			}
			if options.relay {
				return serveRelay(options.logLevel, cmd.ErrOrStderr())
			}
			return serveChat(options, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	c.Flags().DurationVar(&options.takeover, "takeover", 0, "wait this long for a predecessor to release state_dir")
	c.Flags().BoolVar(&options.relay, "relay", false, "speak the relay protocol of the users' platform")
	c.Flags().StringVar(&options.logLevel, "log", "info", "with --relay: log level (debug, info, warn, error)")
	c.Flags().StringVar(&options.file, "config", "", "the node's configuration (JSON; see dillroute config schema)")
	return c
}

// check returns an error if flags are missing or exclude each other.
func (o serveOptions) check() error {
	switch {
	case o.relay && (o.file != "" || o.takeover > 0):
		return errors.New("--relay takes its configuration from the platform: --config and --takeover cannot be combined with it")
	case !o.relay && o.file == "":
		return errors.New("serve needs --config FILE, or --relay")
	}
	return nil
}

// newLogger returns a logger with the configured format and its level, which can be changed at run time.
func newLogger(w io.Writer, l config.Log) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	setLevel(level, l)
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), level
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), level
}

func setLevel(level *slog.LevelVar, l config.Log) {
	level.UnmarshalText([]byte(l.Level)) // cannot fail: the schema allows only the four names
}

// serveChat runs a node that speaks the OpenAI-style chat API, until it is stopped by a signal or the scheduler fails.
func serveChat(options serveOptions, out, errOut io.Writer) error {
	cfg, err := loadConfig(options.file)
	if err != nil {
		return withExitCode(ExitConfig, err)
	}
	logWriter := newLogWriter(errOut)
	defer logWriter.Close()
	log, level := newLogger(logWriter, cfg.Log)
	signals := notifySignals()
	defer signals.stop()
	releaseState, err := acquireStateDir(cfg.StateDir, options.takeover)
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	defer releaseState()
	n, err := startChat(cfg, log)
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	ended := make(chan struct{})
	defer close(ended)
	go notifyReady(n, ended)
	printAddresses(out, n)
	s := &supervisor{signals: signals, failed: n.Failed(), notify: service.Notify,
		reload: newReloader(log, func() error { return reloadChat(n, options.file, log, level) })}
	signal, failure := s.serve()
	if signal != nil {
		service.Notify(service.Stopping)
		n.StopSavingState()
		releaseState()
		log.Info("graceful shutdown started", "signal", signal.String(), "drain_limit_s", n.Config().Limits.ShutdownTimeout)
	}
	s.shutdown(shutdownHooks{
		run:    func() { n.Shutdown(time.Duration(n.Config().Limits.ShutdownTimeout * float64(time.Second))) },
		signal: func(os.Signal) { n.RespondNow() },
	})
	log.Info("shutdown completed")
	return withExitCode(ExitRun, failure)
}

// loadConfig loads the configuration. It retries system calls that fail for a transient reason, for up to startTimeout.
func loadConfig(file string) (cfg *config.Config, err error) {
	err = service.RetryTransient(startTimeout, func() (err error) {
		cfg, err = config.Load(file)
		return err
	})
	return cfg, err
}

// acquireStateDir acquires the state directory, if one is configured. It returns a function that releases it and may be called twice.
func acquireStateDir(dir string, takeover time.Duration) (release func(), err error) {
	if dir == "" {
		return func() {}, nil
	}
	state, err := service.AwaitStateDir(dir, takeover)
	if err != nil {
		return nil, fmt.Errorf("/state_dir: %w", err)
	}
	return func() { state.Release() }, nil
}

// startChat starts the node, on inherited listeners if there are any. It retries system calls that fail for a transient reason, for up
// to startTimeout.
func startChat(cfg *config.Config, log *slog.Logger) (n *node.ChatNode, err error) {
	client, admin, err := service.InheritedListeners()
	if err != nil {
		return nil, err
	}
	err = service.RetryTransient(startTimeout, func() (err error) {
		n, err = node.StartChat(cfg, node.WithLogger(log), node.WithListener(client), node.WithAdminListener(admin))
		return err
	})
	return n, err
}

func printAddresses(out io.Writer, n *node.ChatNode) {
	fmt.Fprintf(out, "listening on http://%s\n", n.Addr())
	if n.AdminAddr() != nil {
		fmt.Fprintf(out, "admin on http://%s\n", n.AdminAddr())
	}
}

// notifyReady reports readiness to the service manager once the node is ready. A node without any listed engine is not ready.
func notifyReady(n *node.ChatNode, ended <-chan struct{}) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !n.Ready() {
		select {
		case <-ended:
			return
		case <-tick.C:
		}
	}
	service.Notify(service.Ready)
}

// reloadChat applies those settings of the file that may change at run time, and logs which changes require a restart.
func reloadChat(n *node.ChatNode, file string, log *slog.Logger, level *slog.LevelVar) error {
	next, err := config.Load(file)
	if err != nil {
		return err
	}
	applied, restartRequired := n.Reload(next)
	setLevel(level, n.Config().Log)
	log.Info("configuration reloaded", "applied", applied, "restart_required", restartRequired)
	return nil
}

// isInterrupt reports whether a signal is SIGINT: on the platform, SIGINT cuts a graceful shutdown short and SIGTERM does not.
func isInterrupt(s os.Signal) bool { return s == syscall.SIGINT }
