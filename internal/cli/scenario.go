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

func baddayCommand() *cobra.Command {
	var report, logTo string
	var seed uint64
	c := &cobra.Command{
		Use:   "badday SCRIPT",
		Short: "Play a scripted bad day through real nodes on loopback and judge the rules",
		Long: `Play a script of load and troubles through real nodes, stand-in engines and scripted clients, all on loopback. The
five rules are judged from what passed on the sockets. A broken rule ends with code 4.

` + exitCodesDoc,
		Example: "  dillroute badday examples/badday/sunday.json\n  dillroute badday examples/badday/sunday.json --seed 7 --report out.json\n" +
			"  dillroute badday convert DAY.json > examples/badday/day.json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return withCode(ExitConfig, err)
			}
			s, err := scenario.Parse(text)
			if err != nil {
				return withCode(ExitConfig, fmt.Errorf("%s:\n%w", args[0], err))
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			return playDay(s, report, logTo, cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&report, "report", "", "write the report as JSON to this file")
	c.Flags().StringVar(&logTo, "log", "", "write the nodes' logs to this file")
	c.Flags().Uint64Var(&seed, "seed", 0, "play with another seed than the script's")
	c.AddCommand(convertCommand())
	return c
}

// launcher starts nodes of this program within this process.
func launcher(log io.Writer) scenario.Launch {
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

func playDay(s *scenario.Script, report, logTo string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var log io.Writer = io.Discard
	if logTo != "" {
		f, err := os.Create(logTo)
		if err != nil {
			return withCode(ExitRun, err)
		}
		defer f.Close()
		log = f
	}
	start := time.Now()
	r, err := scenario.Run(ctx, s, scenario.Options{Launch: launcher(log), Out: out, Files: service.DescriptorLimit()})
	if err != nil {
		return withCode(ExitRun, err)
	}
	fmt.Fprintf(out, "\nplayed in %.1f s\n", time.Since(start).Seconds())
	r.Print(out)
	if report != "" {
		b, err := r.JSON()
		if err == nil {
			err = os.WriteFile(report, append(b, '\n'), 0o644)
		}
		if err != nil {
			return withCode(ExitRun, err)
		}
	}
	return verdict(r)
}

// verdict turns what a day came to into the command's end.
func verdict(r *scenario.Report) error {
	switch {
	case r.Broken > 0:
		return withCode(ExitRules, fmt.Errorf("%d breaches of the rules", r.Broken))
	case r.Unfinished != "":
		return withCode(ExitRun, errors.New("the day did not end in time"))
	}
	return nil
}
