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
	var report, logTo string
	var seed uint64
	c := &cobra.Command{
		Use:     "scenario SCRIPT",
		Aliases: []string{"badday"}, // the name until December 2026
		Short:   "Play a scripted fault scenario through real nodes on loopback and check the rules",
		Long: `Play a script of load and faults through real nodes, emulated engines and scripted clients, all on loopback. The five
rules are checked from what passed on the sockets. A broken rule ends with code 4.

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
			return playScenario(s, report, logTo, cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&report, "report", "", "write the report as JSON to this file")
	c.Flags().StringVar(&logTo, "log", "", "write the nodes' logs to this file")
	c.Flags().Uint64Var(&seed, "seed", 0, "play with another seed than the script's")
	c.AddCommand(convertCommand())
	return c
}

// inProcessLauncher starts nodes of this program within this process.
func inProcessLauncher(log io.Writer) scenario.Launch {
	return func(name string, text []byte) (scenario.Node, error) {
		cfg, err := config.Parse(text)
		if err != nil {
			return nil, err
		}
		l := slog.New(slog.DiscardHandler)
		if log != io.Discard { // hundreds of nodes would spend their time on lines that nobody reads
			l = slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", name)
		}
		return node.StartChat(cfg, node.WithLogger(l))
	}
}

func playScenario(s *scenario.Script, report, logTo string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var log io.Writer = io.Discard
	if logTo != "" {
		f, err := os.Create(logTo)
		if err != nil {
			return withExitCode(ExitRun, err)
		}
		defer f.Close()
		log = f
	}
	start := time.Now()
	r, err := scenario.Run(ctx, s, scenario.Options{Launch: inProcessLauncher(log), Out: out, Files: service.DescriptorLimit()})
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	fmt.Fprintf(out, "\nplayed in %.1f s\n", time.Since(start).Seconds())
	r.Print(out)
	if report != "" {
		b, err := r.JSON()
		if err == nil {
			err = os.WriteFile(report, append(b, '\n'), 0o644)
		}
		if err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	return reportError(r)
}

// reportError turns what a day came to into the command's end.
func reportError(r *scenario.Report) error {
	switch {
	case r.ViolationCount > 0:
		return withExitCode(ExitRules, fmt.Errorf("%d breaches of the rules", r.ViolationCount))
	case r.Unfinished != "":
		return withExitCode(ExitRun, errors.New("the day did not end in time"))
	}
	return nil
}
