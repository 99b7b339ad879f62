package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the version of the program. Release builds set it.
var Version = "0.1.0-dev"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  dillroute version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			revision := ""
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "dillroute %s%s %s %s/%s\n", Version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}
