// Package cli is the command line of dillroute, a file for each sub-command.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitRun      = 1 // the command could not do its work
	ExitUsage    = 2 // wrong flags or arguments
	ExitConfig   = 3 // a file is not what it should be
	ExitRules    = 4 // a rule was broken
	exitCodesDoc = `Exit codes: 0 done; 1 the command could not do its work; 2 wrong flags or arguments;
3 a configuration, list or script is not what it should be; 4 a rule was broken.`
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (c *exitError) Error() string { return c.err.Error() }
func (c *exitError) Unwrap() error { return c.err }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code, err}
}

// Run executes a command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "dillroute:", err)
	var c *exitError
	if errors.As(err, &c) {
		return c.code
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "dillroute",
		Short: "A router for language-model serving with separate prefill and decode engines",
		Long: "dillroute takes OpenAI-style chat requests, has their prompts prefilled and their answers decoded on separate\n" +
			"engines, and streams the answers back.\n\n" + exitCodesDoc,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(), engineCommand(), demoCommand(), scenarioCommand(), fleetCommand(), overheadCommand(),
		configCommand(), versionCommand())
	return root
}

// Main runs the program.
func Main() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) }
