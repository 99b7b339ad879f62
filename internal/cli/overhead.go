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
	var report string
	plan := overhead.DefaultPlan
	c := &cobra.Command{
		Use:   "overhead",
		Short: "Measure what the node adds, against a plain reverse proxy",
		Long: `Start a stand-in engine, a node and a plain httputil.ReverseProxy, each in a process of its own on loopback, load each in
turn with the same requests, and print latency, rates for each core and memory. It takes about a minute.`,
		Example: "  dillroute overhead\n  dillroute overhead --streams 1000 --report out.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return withCode(ExitRun, measureOverhead(ctx, plan, report, cmd.OutOrStdout()))
		},
	}
	c.Flags().IntVar(&plan.Streams, "streams", plan.Streams, "connections and streams held open for the memory figures")
	c.Flags().IntVar(&plan.Requests, "requests", plan.Requests, "requests of the closed loop")
	c.Flags().StringVar(&report, "report", "", "write the figures as JSON to this file")
	for _, part := range []*cobra.Command{
		{Use: "engine", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := announce(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return overhead.Engine(l)
		}},
		{Use: "proxy BACKEND", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			l, err := announce(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return overhead.Proxy(l, args[0])
		}},
	} {
		c.AddCommand(part)
	}
	return c
}

// announce opens a free loopback port and prints it for the parent.
func announce(out io.Writer) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		fmt.Fprintf(out, "listening on http://%s\n", l.Addr())
	}
	return l, err
}

// child starts this program with other arguments and reads the addresses that it prints.
func child(ctx context.Context, lines int, args ...string) (*exec.Cmd, []string, error) {
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

func measureOverhead(ctx context.Context, plan overhead.Plan, report string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "dillroute-overhead-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var children []*exec.Cmd
	defer func() {
		cancel()
		for _, c := range children {
			c.Wait()
		}
	}()
	start := func(lines int, args ...string) (int, []string, error) {
		c, addresses, err := child(ctx, lines, args...)
		if err != nil {
			return 0, nil, err
		}
		children = append(children, c)
		return c.Process.Pid, addresses, nil
	}
	_, engine, err := start(1, "overhead", "engine")
	if err != nil {
		return err
	}
	proxyPID, proxy, err := start(1, "overhead", "proxy", engine[0])
	if err != nil {
		return err
	}
	targets := []overhead.Target{{Name: "engine alone", Address: engine[0]},
		{Name: "reverse proxy", Address: proxy[0], PID: proxyPID}}
	for _, way := range []string{"one hop", "prefill and decode"} {
		file, err := overheadConfig(dir, way, engine[0])
		if err != nil {
			return err
		}
		pid, node, err := start(2, "serve", "--config", file)
		if err != nil {
			return err
		}
		targets = append(targets, overhead.Target{Name: "dillroute, " + way, Address: node[0], PID: pid, Admin: node[1]})
	}
	var results []overhead.Result
	for _, t := range targets {
		p := plan
		if t.PID == 0 {
			p.Streams = 1
		}
		r, err := overhead.Measure(ctx, t, p, demoKey, out)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	printOverhead(out, results)
	if report == "" {
		return nil
	}
	b, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(report, append(b, '\n'), 0o644)
}

// overheadConfig writes the configuration of a node before the engine. On one hop the engine is listed as many mixed
// ones, for the module has each read one prompt of ours at a time; on two, as prefill and decode engines.
func overheadConfig(dir, way, engine string) (string, error) {
	var engines []any
	for i := range 32 {
		kind := "mixed"
		if way != "one hop" {
			kind = []string{"prefill", "decode"}[i%2]
		}
		engines = append(engines, map[string]any{"id": fmt.Sprint("e", i), "address": engine, "kind": kind})
	}
	var kinds []any
	for _, role := range []string{"prefill", "decode", "mixed"} {
		kinds = append(kinds, map[string]any{"name": role, "role": role})
	}
	folder := filepath.Join(dir, strings.ReplaceAll(way, " ", "-"))
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

func printOverhead(out io.Writer, rs []overhead.Result) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tp50\tp99\trequests/s\tper core\tevents/s\tper core\ttyped per core\tbytes/idle\tbytes/stream\tdecide p99\terrors\t")
	for _, r := range rs {
		fmt.Fprintf(t, "%s\t%.2f ms\t%.2f ms\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f ms\t%d\t\n", r.Name, r.P50ms, r.P99ms, r.RequestsPerS,
			r.RequestsPerCore, r.EventsPerS, r.EventsPerCore, r.TypedPerCore, r.BytesPerIdle, r.BytesPerStream, r.DecideP99ms, r.Errors)
	}
	t.Flush()
}
