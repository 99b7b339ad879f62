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
		Long: `Convert a day that the bench has drawn into a script on standard output, so that its faults replay on sockets. Load is
scaled down to --rate sessions a second and time to --length seconds; speeds and sizes of engines are kept.`,
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
	c.Flags().Float64Var(&rate, "rate", 25, "sessions a second")
	c.Flags().Float64Var(&length, "length", 0, "seconds that the day is to last; 0 = as long as it is")
	return c
}
