package cli

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dillroute/api"
	"dillroute/internal/config"
	"dillroute/lab/emulator"

	"github.com/spf13/cobra"
)

func engineCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "engine --config FILE",
		Short: "Run one emulated engine, for experiments",
		Long: `Run one emulated engine until SIGTERM or SIGINT. It speaks the protocol of separate prefill and decode engines and
returns synthetic responses. POST /lab/fault with a JSON object, such as {"errors":0.5} or {"silent":true}, injects faults;
{} clears them.`,
		Example: "  dillroute engine --config examples/engine-prefill.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return withExitCode(ExitUsage, fmt.Errorf("engine needs --config FILE"))
			}
			var s emulator.Settings
			if err := config.MustSchema(api.EngineSchema).DecodeFile(file, &s); err != nil {
				return withExitCode(ExitConfig, fmt.Errorf("%s:\n%w", file, err))
			}
			e := emulator.New(s, nil)
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			if err := e.Start(s.SlowStartSeconds > 0); err != nil {
				return withExitCode(ExitRun, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s engine %s on %s\n", s.Role, s.ID, e.Address())
			<-signals
			e.Kill()
			return nil
		},
	}
	c.Flags().StringVar(&file, "config", "", "the engine's settings (JSON; see dillroute config schema engine)")
	return c
}
