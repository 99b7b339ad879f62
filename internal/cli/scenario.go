package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/internal/service"
	"dillroute/lab/scenario"

	"github.com/spf13/cobra"
)

func scenarioCommand() *cobra.Command {
	var reportFile, logFile string
	var seed uint64
	c := &cobra.Command{
		Use:     "scenario SCRIPT",
		Aliases: []string{"badday"}, // the command's name until December 2026
		Short:   "Run a scripted fault scenario against real nodes on loopback and check the rules",
		Long: `Run a script of load and faults with real nodes, emulated engines and scripted clients, all on loopback. The five rules
are checked by the traffic on the sockets. If a rule is violated, the exit code is 4.

` + exitCodesDoc,
		Example: "  dillroute scenario examples/scenario/sunday.json\n" +
			"  dillroute scenario examples/scenario/sunday.json --seed 7 --report out.json\n" +
			"  dillroute scenario convert DAY.json > examples/scenario/day.json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return withExitCode(ExitConfig, err)
			}
			s, err := scenario.Parse(text)
			if err != nil {
				return withExitCode(ExitConfig, fmt.Errorf("%s:\n%w", args[0], err))
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			return runScenario(s, reportFile, logFile, cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&reportFile, "report", "", "write the report as JSON to this file")
	c.Flags().StringVar(&logFile, "log", "", "write the nodes' logs to this file")
	c.Flags().Uint64Var(&seed, "seed", 0, "random seed to use instead of the script's")
	c.AddCommand(convertCommand())
	return c
}

// inProcessLauncher starts nodes within this process. With io.Discard as the log, they log nothing.
func inProcessLauncher(log io.Writer) scenario.Launch {
	return func(name string, text []byte) (scenario.Node, error) {
		cfg, err := config.Parse(text)
		if err != nil {
			return nil, err
		}
		l := slog.New(slog.DiscardHandler)
		if log != io.Discard { // with hundreds of nodes, formatting discarded lines costs much time
			l = slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", name)
		}
		return node.StartChat(cfg, node.WithLogger(l))
	}
}

func runScenario(s *scenario.Script, reportFile, logFile string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var log io.Writer = io.Discard
	if logFile != "" {
		f, err := os.Create(logFile)
		if err != nil {
			return withExitCode(ExitRun, err)
		}
		defer f.Close()
		log = f
	}
	start := time.Now()
	r, err := scenario.Run(ctx, s, scenario.Options{Launch: inProcessLauncher(log), Out: out, DescriptorLimit: service.DescriptorLimit()})
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	fmt.Fprintf(out, "\nran for %.1f s\n", time.Since(start).Seconds())
	r.Print(out)
	if reportFile != "" {
		b, err := r.JSON()
		if err == nil {
			err = os.WriteFile(reportFile, append(b, '\n'), 0o644)
		}
		if err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	return reportError(r)
}

// reportError returns the error with which the command ends after a scenario, or nil if the scenario ended and no rule was violated.
func reportError(r *scenario.Report) error {
	switch {
	case r.ViolationCount > 0:
		return withExitCode(ExitRules, fmt.Errorf("%d rule violations", r.ViolationCount))
	case r.Unfinished != "":
		return withExitCode(ExitRun, errors.New("the scenario was aborted before it ended"))
	}
	return nil
}
