package cli

import (
	"fmt"

	"dillroute/api"
	"dillroute/internal/config"

	"github.com/spf13/cobra"
)

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check a configuration, or print its schema"}
	c.AddCommand(&cobra.Command{
		Use:     "check FILE",
		Short:   "Check a configuration and list all its problems, each with its JSON pointer",
		Example: "  dillroute config check examples/node.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return withExitCode(ExitConfig, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid; %d classes, %d models, %d tenants, %d kinds of engine\n",
				args[0], len(cfg.Classes), len(cfg.Models), len(cfg.Tenants), len(cfg.Kinds))
			return nil
		},
	}, schemaCommand())
	return c
}

func schemaCommand() *cobra.Command {
	schemas := map[string][]byte{"config": api.ConfigSchema, "list": api.ListSchema, "engine": api.EngineSchema,
		"scenario": api.ScenarioSchema, "badday": api.ScenarioSchema} // badday: the name of scenario until December 2026
	return &cobra.Command{
		Use:       "schema [config|list|engine|scenario]",
		Short:     "Print the JSON Schema of one of the input files (default config)",
		Example:   "  dillroute config schema list > list.schema.json",
		ValidArgs: []string{"config", "list", "engine", "scenario", "badday"},
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "config"
			if len(args) > 0 {
				name = args[0]
			}
			_, err := cmd.OutOrStdout().Write(schemas[name])
			return err
		},
	}
}
