package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"dillroute/lab/scenario"

	"github.com/spf13/cobra"
)

func convertCommand() *cobra.Command {
	var rate, length float64
	c := &cobra.Command{
		Use:   "convert DAY.json",
		Short: "Convert a day file of the bench into a scenario script",
		Long: `Convert a day file of the bench into a scenario script on standard output, so that its faults can be replayed on sockets.
Load is scaled down to --rate sessions per second and time to --length seconds; engine speeds and sizes stay the same.`,
		Example: "  dillroute scenario convert DAY.json --rate 30 --length 20 > day.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return withExitCode(ExitConfig, err)
			}
			s, err := scenario.Convert(text, rate, length)
			if err != nil {
				return withExitCode(ExitConfig, fmt.Errorf("%s: %w", args[0], err))
			}
			b, err := json.MarshalIndent(s, "", " ")
			if err != nil {
				return withExitCode(ExitRun, err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), string(b))
			return nil
		},
	}
	c.Flags().Float64Var(&rate, "rate", 25, "sessions per second")
	c.Flags().Float64Var(&length, "length", 0, "length of the scenario in seconds; 0 = that of the day")
	return c
}
