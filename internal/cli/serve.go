package cli

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/service"

	"github.com/spf13/cobra"
)

func serveCommand() *cobra.Command {
	var file string
	var takeover time.Duration
	var platform bool
	var level string
	c := &cobra.Command{
		Use:   "serve --config FILE | --relay",
		Short: "Run a node",
		Long: `Run a node until SIGTERM or SIGINT. The first one stops the taking of requests and lets those held end, for
limits.shutdown_s at most; a second one answers what is held at once. SIGHUP reads the configuration again and
logs what was taken and what needs a restart.

Sockets handed over by a service manager (LISTEN_FDS, names client and admin) are used in place of listen and admin, and
readiness is told to it (sd_notify). With state_dir, one process at a time holds that folder; --takeover waits for a predecessor,
which lets go of it as soon as it is told to stop.

With --relay the node speaks the protocol of the users' platform, and takes its configuration from there (RELAY_CONFIG,
RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY). Admin listener, state directory and handed sockets are off then.

` + exitCodesDoc,
		Example: "  dillroute serve --config examples/node.json\n  dillroute serve --config examples/node.json --takeover 1m\n  dillroute serve --relay",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if platform && (file != "" || takeover > 0) {
				return withCode(ExitUsage, fmt.Errorf("--relay takes its configuration from the platform: --config and --takeover do not go with it"))
			}
			if platform {
				return serveRelay(level, cmd.ErrOrStderr())
			}
			if file == "" {
				return withCode(ExitUsage, fmt.Errorf("serve needs --config FILE, or --relay"))
			}
			return serve(file, takeover, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	c.Flags().DurationVar(&takeover, "takeover", 0, "wait this long for a predecessor to let go of state_dir")
	c.Flags().BoolVar(&platform, "relay", false, "speak the protocol of the users' platform")
	c.Flags().StringVar(&level, "log", "info", "with --relay: log level (debug, info, warn, error)")
	c.Flags().StringVar(&file, "config", "", "the node's configuration (JSON; see dillroute config schema)")
	return c
}

// newLogger logs as the configuration says; level can be changed in service.
func newLogger(w io.Writer, l config.Log) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	setLevel(level, l)
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), level
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), level
}

func setLevel(level *slog.LevelVar, l config.Log) {
	level.UnmarshalText([]byte(l.Level)) // the schema allows the four names alone
}

func serve(file string, takeover time.Duration, out, errOut io.Writer) error {
	var cfg *config.Config
	err := service.RetryTransient(startFor, func() (err error) {
		cfg, err = config.Load(file)
		return err
	})
	if err != nil {
		return withCode(ExitConfig, err)
	}
	lines := newLogWriter(errOut)
	defer lines.Close()
	log, level := newLogger(lines, cfg.Log)
	told := takeSignals()
	defer told.giveBack()
	letGo := func() {}
	if cfg.StateDir != "" {
		state, err := service.AwaitStateDir(cfg.StateDir, takeover)
		if err != nil {
			return withCode(ExitRun, fmt.Errorf("/state_dir: %w", err))
		}
		letGo = func() { state.Release() }
	}
	defer letGo()
	client, admin, err := service.InheritedListeners()
	if err != nil {
		return withCode(ExitRun, err)
	}
	var n *node.ChatNode
	err = service.RetryTransient(startFor, func() (err error) {
		n, err = node.StartChat(cfg, node.WithLogger(log), node.WithListener(client), node.WithAdminListener(admin))
		return err
	})
	if err != nil {
		return withCode(ExitRun, err)
	}
	again := newReloader(log, func() error { return reload(n, file, log, level) })
	ended := make(chan struct{})
	defer close(ended)
	go tellReady(n, ended)
	fmt.Fprintf(out, "listening on http://%s\n", n.Addr())
	if n.Admin() != nil {
		fmt.Fprintf(out, "admin on http://%s\n", n.Admin())
	}
	var failure error
	for {
		select {
		case failure = <-n.Failed():
		case <-again.Due():
			again.Try()
			continue
		case err := <-again.Ended():
			again.Conclude(err)
			service.Notify(service.Ready)
			continue
		case <-told.reload:
			service.Notify(service.Reloading)
			again.Ask()
			continue
		case s := <-told.stop:
			service.Notify(service.Stopping)
			n.StopSavingState()
			letGo()
			log.Info("stopping", "signal", s.String(), "held_s", n.Config().Limits.Shutdown)
		}
		break
	}
	stopped := make(chan struct{})
	go func() {
		n.Shutdown(time.Duration(n.Config().Limits.Shutdown * float64(time.Second)))
		close(stopped)
	}()
	for {
		select {
		case <-stopped:
			log.Info("stopped")
			return withCode(ExitRun, failure)
		case <-told.stop:
			n.RespondNow()
		}
	}
}

// tellReady tells the service manager once the node may serve: with no engine listed it may not.
func tellReady(n *node.ChatNode, ended <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
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

// reload takes what may change of the file, and says what may not.
func reload(n *node.ChatNode, file string, log *slog.Logger, level *slog.LevelVar) error {
	next, err := config.Load(file)
	if err != nil {
		return err
	}
	taken, refused := n.Reload(next)
	setLevel(level, n.Config().Log)
	log.Info("configuration read again", "taken", taken, "needs_restart", refused)
	return nil
}
