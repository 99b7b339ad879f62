// Package cli implements the command line of dillroute, with one file per sub-command.
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
	ExitRun      = 1 // the command failed
	ExitUsage    = 2 // wrong flags or arguments
	ExitConfig   = 3 // a file is invalid
	ExitRules    = 4 // a rule was violated
	exitCodesDoc = `Exit codes: 0 success; 1 the command failed; 2 wrong flags or arguments;
3 a configuration, list or script is invalid; 4 a rule was violated.`
)

// exitError is an error that sets the exit code of the program.
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
		Long: "dillroute accepts OpenAI-style chat requests, routes them to separate prefill and decode engines, and streams\n" +
			"the responses back.\n\n" + exitCodesDoc,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(), engineCommand(), demoCommand(), scenarioCommand(), fleetCommand(), overheadCommand(),
		configCommand(), versionCommand())
	return root
}

// Main runs the command line of the process and exits.
func Main() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) }
