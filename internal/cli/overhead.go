package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"dillroute/lab/overhead"

	"github.com/spf13/cobra"
)

func overheadCommand() *cobra.Command {
	var reportFile string
	plan := overhead.DefaultPlan
	c := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the overhead of the node, compared with a plain reverse proxy",
		Long: `Start an emulated engine, a node and a plain httputil.ReverseProxy, each in its own process on loopback, send the same
requests to each in turn, and print latency, rates per core and memory. This takes about a minute.`,
		Example: "  dillroute overhead\n  dillroute overhead --streams 1000 --report out.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return withExitCode(ExitRun, measureOverhead(ctx, plan, reportFile, cmd.OutOrStdout()))
		},
	}
	c.Flags().IntVar(&plan.Streams, "streams", plan.Streams, "open connections and streams while memory is measured")
	c.Flags().IntVar(&plan.ClosedLoopRequests, "requests", plan.ClosedLoopRequests, "requests of the closed-loop load")
	c.Flags().StringVar(&reportFile, "report", "", "write the figures as JSON to this file")
	for _, subcommand := range []*cobra.Command{
		{Use: "engine", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := listenLoopback(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return overhead.Engine(l)
		}},
		{Use: "proxy BACKEND", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			l, err := listenLoopback(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return overhead.Proxy(l, args[0])
		}},
	} {
		c.AddCommand(subcommand)
	}
	return c
}

// listenLoopback listens on a free loopback port and prints the address for the parent process.
func listenLoopback(out io.Writer) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		fmt.Fprintf(out, "listening on http://%s\n", l.Addr())
	}
	return l, err
}

// startChild starts this program with other arguments and reads the addresses that it prints; lines is their number.
func startChild(ctx context.Context, lines int, args ...string) (*exec.Cmd, []string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.CommandContext(ctx, self, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	var addresses []string
	sc := bufio.NewScanner(out)
	for len(addresses) < lines && sc.Scan() {
		if _, address, ok := strings.Cut(sc.Text(), " on http://"); ok {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) < lines {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, nil, fmt.Errorf("%s did not start", strings.Join(args, " "))
	}
	return cmd, addresses, nil
}

// overheadChildren are the processes that a measurement starts.
type overheadChildren struct {
	ctx      context.Context
	commands []*exec.Cmd
}

// start starts this program with other arguments and returns its process id and the addresses that it prints.
func (c *overheadChildren) start(lines int, args ...string) (pid int, addresses []string, err error) {
	cmd, addresses, err := startChild(c.ctx, lines, args...)
	if err != nil {
		return 0, nil, err
	}
	c.commands = append(c.commands, cmd)
	return cmd.Process.Pid, addresses, nil
}

// wait returns when all processes have ended; canceling the context ends them.
func (c *overheadChildren) wait() {
	for _, cmd := range c.commands {
		cmd.Wait()
	}
}

// measureOverhead starts an engine, a proxy and two nodes, measures each of them, and prints the results. It also writes them to a file if
// one is given.
func measureOverhead(ctx context.Context, plan overhead.Plan, reportFile string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "dillroute-overhead-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	children := &overheadChildren{ctx: ctx}
	defer children.wait()
	defer cancel()
	targets, err := overheadTargets(children, dir)
	if err != nil {
		return err
	}
	results := make([]overhead.Result, 0, len(targets))
	for _, target := range targets {
		targetPlan := plan
		if target.PID == 0 {
			targetPlan.Streams = 1
		}
		result, err := overhead.Measure(ctx, target, targetPlan, demoKey, out)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	printOverhead(out, results)
	if reportFile == "" {
		return nil
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(reportFile, append(text, '\n'), 0o644)
}

// overheadTargets starts the processes to measure: the engine alone, a plain reverse proxy, and a node with one hop and with two.
func overheadTargets(children *overheadChildren, dir string) ([]overhead.Target, error) {
	_, engine, err := children.start(1, "overhead", "engine")
	if err != nil {
		return nil, err
	}
	proxyPID, proxy, err := children.start(1, "overhead", "proxy", engine[0])
	if err != nil {
		return nil, err
	}
	targets := []overhead.Target{
		{Name: "engine alone", Address: engine[0]},
		{Name: "reverse proxy", Address: proxy[0], PID: proxyPID},
	}
	for _, hops := range []string{oneHop, twoHops} {
		file, err := overheadConfig(dir, hops, engine[0])
		if err != nil {
			return nil, err
		}
		pid, node, err := children.start(2, "serve", "--config", file)
		if err != nil {
			return nil, err
		}
		targets = append(targets, overhead.Target{Name: "dillroute, " + hops, Address: node[0], PID: pid, Admin: node[1]})
	}
	return targets, nil
}

// The two measured paths of a request.
const (
	oneHop  = "one hop"            // one mixed engine does both prefill and decode
	twoHops = "prefill and decode" // separate prefill and decode engines
)

// overheadConfig writes the configuration of a node in front of the engine and returns the name of its file. The one engine is listed
// many times, because the scheduler sends a listed engine only one of the node's prompts to prefill at a time. All entries are mixed
// engines with one hop, and prefill or decode engines with two.
func overheadConfig(dir, hops, engine string) (string, error) {
	var engines []any
	for i := range 32 {
		kind := "mixed"
		if hops != oneHop {
			kind = []string{"prefill", "decode"}[i%2]
		}
		engines = append(engines, map[string]any{"id": fmt.Sprint("e", i), "address": engine, "kind": kind})
	}
	var kinds []any
	for _, role := range []string{"prefill", "decode", "mixed"} {
		kinds = append(kinds, map[string]any{"name": role, "role": role})
	}
	folder := filepath.Join(dir, strings.ReplaceAll(hops, " ", "-"))
	cfg := map[string]any{"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "node": map[string]any{"name": "n"}, "kinds": kinds,
		"classes": []any{map[string]any{"name": "c", "effect": "repeatable", "aim_s": 30, "patience_s": 60, "token_aim_s": 10}},
		"models":  []any{map[string]any{"name": "m", "class": "c"}},
		"tenants": []any{map[string]any{"name": "t", "keys": []string{demoKey}}},
		"engines": map[string]any{"file": "list.json"}, "log": map[string]any{"level": "error"}}
	if err := os.Mkdir(folder, 0o755); err != nil {
		return "", err
	}
	for name, v := range map[string]any{"list.json": map[string]any{"engines": engines}, "node.json": cfg} {
		b, err := json.Marshal(v)
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(folder, name), b, 0o644); err != nil {
			return "", err
		}
	}
	return filepath.Join(folder, "node.json"), nil
}

func printOverhead(out io.Writer, results []overhead.Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tp50\tp99\trequests/s\tper core\tevents/s\tper core\ttyped per core\t"+
		"bytes/idle\tbytes/stream\tdecide p99\terrors\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.2f ms\t%.2f ms\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f ms\t%d\t\n",
			r.Name, r.P50ms, r.P99ms, r.RequestsPerS, r.RequestsPerCore, r.EventsPerS, r.EventsPerCore, r.SteadyEventsPerCore,
			r.BytesPerIdleConnection, r.BytesPerStream, r.DecideP99ms, r.Errors)
	}
	table.Flush()
}
