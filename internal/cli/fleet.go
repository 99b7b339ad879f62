package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dillroute/internal/service"
	"dillroute/lab/chart"
	"dillroute/lab/scenario"

	"github.com/spf13/cobra"
)

func fleetCommand() *cobra.Command {
	p := scenario.FleetPlan{Nodes: 60, Engines: 24, SessionsPerSecond: 100, Length: 60, NodeRestartsPerSecond: 1,
		EngineRestartsPerSecond: 0.1, ListDelay: 0.5, RestartAllNodes: true, Seed: 1}
	var processes bool
	var reportFile, plotFile, faultFile string
	var restartPrefill bool
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run many nodes that share nothing, restart them at random and check the rules over all of them",
		Long: `Run a fleet of nodes in front of emulated engines, behind a load balancer that keeps sending to a dead node for a while.
Nodes are killed and restarted at random by the seed, engines die and return in slow start, the list is late, and near the end all
nodes restart within a second. The rules are checked over all nodes together during the run; memory does not grow with its length.
Nodes run within this process or, with --processes, each in its own.

` + exitCodesDoc,
		Example: "  dillroute fleet\n" +
			"  dillroute fleet --nodes 300 --engines 40 --rate 150 --seconds 1200 --report fleet.json --plot fleet.png\n" +
			"  dillroute fleet --nodes 20 --load 1.1 --release --churn 0 --restarts 0\n" +
			"  dillroute fleet --processes --nodes 20",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := fleetScript(p, faultFile, restartPrefill)
			if err != nil {
				return err
			}
			return runFleet(s, processes, reportFile, plotFile, cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&p.Nodes, "nodes", p.Nodes, "nodes")
	f.IntVar(&p.Engines, "engines", p.Engines, "emulated engines")
	f.Float64Var(&p.SessionsPerSecond, "rate", p.SessionsPerSecond, "requests per second")
	f.Float64Var(&p.Load, "load", 0, "requests per second as a fraction of what the engines can serve, instead of --rate")
	f.StringVar(&faultFile, "trouble", "", "add the faults of this scenario script")
	f.BoolVar(&restartPrefill, "release", false, "restart all prefill engines in steps, a third at a time")
	f.Float64Var(&p.Length, "seconds", p.Length, "length of the run")
	f.Float64Var(&p.NodeRestartsPerSecond, "restarts", p.NodeRestartsPerSecond, "nodes killed and restarted per second")
	f.Float64Var(&p.EngineRestartsPerSecond, "churn", p.EngineRestartsPerSecond, "engines that die and return in slow start, per second")
	f.Float64Var(&p.ListDelay, "notice", p.ListDelay, "seconds by which the list is late")
	f.BoolVar(&p.ListServer, "list-server", false, "nodes poll one list server by blocking queries, instead of a file each")
	f.BoolVar(&p.RestartAllNodes, "roll", p.RestartAllNodes, "restart all nodes within a second near the end")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "random seed of load, restarts and engines")
	f.BoolVar(&processes, "processes", false, "run each node in its own process")
	f.StringVar(&plotFile, "plot", "", "plot service, nodes, fairness and slow-start budgets over time to this PNG file")
	f.StringVar(&reportFile, "report", "", "write the report as JSON to this file")
	return c
}

// fleetScript returns the scenario of a fleet, with the faults of a script and a rolling restart of the prefill engines if requested.
func fleetScript(p scenario.FleetPlan, faultFile string, restartPrefill bool) (*scenario.Script, error) {
	if p.Nodes < 1 || p.Engines < 3 || p.Length < 5 || p.Load < 0 {
		return nil, withExitCode(ExitUsage, fmt.Errorf("a fleet needs at least 1 node, 3 engines and 5 seconds, and no negative load"))
	}
	if restartPrefill {
		prefillEngines := p.Script().PrefillEngines()
		third := (len(prefillEngines) + 2) / 3
		p.Faults = scenario.RestartFaults(prefillEngines, third, 0.25*p.Length, 0.15*p.Length, min(2, 0.1*p.Length))
	}
	if faultFile != "" {
		text, err := os.ReadFile(faultFile)
		if err != nil {
			return nil, withExitCode(ExitConfig, err)
		}
		script, err := scenario.Parse(text)
		if err != nil {
			return nil, withExitCode(ExitConfig, fmt.Errorf("%s:\n%w", faultFile, err))
		}
		p.Faults = append(p.Faults, script.Faults...)
	}
	s := p.Script()
	if err := s.Check(); err != nil {
		return nil, withExitCode(ExitConfig, fmt.Errorf("%s does not apply to this fleet:\n%w", cmp.Or(faultFile, "the plan"), err))
	}
	return s, nil
}

func runFleet(s *scenario.Script, processes bool, reportFile, plotFile string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := scenario.Options{Launch: inProcessLauncher(io.Discard), Skew: 0.5, Progress: func(q scenario.Progress) {
		fmt.Fprintf(out, "\r%5.0f of %.0f s  %d nodes up, %d starts  %d served in time of %d  slow-start budget %.0f%%  %d violations   ",
			q.T, q.Length, q.NodesUp, q.NodeStarts, q.ServedInTime, q.Ended, 100*q.SlowStartUse, q.Violations)
	}}
	o.DescriptorLimit = service.DescriptorLimit()
	if processes {
		o.DescriptorLimit = 0
		dir, err := os.MkdirTemp("", "dillroute-fleet-")
		if err != nil {
			return withExitCode(ExitRun, err)
		}
		defer os.RemoveAll(dir)
		o.Launch = processLauncher(dir)
	}
	r, err := scenario.Run(ctx, s, o)
	fmt.Fprintln(out)
	if err != nil {
		return withExitCode(ExitRun, err)
	}
	r.Print(out)
	fmt.Fprintf(out, "\n%d starts of nodes, ready after %.0f ms at the 99th percentile\n", r.NodeStarts, 1000*r.ReadyP99)
	fmt.Fprintf(out, "sends to an engine in slow start: at most %.0f%% of its budget in any window\n", 100*r.SlowStartUse.Share)
	fmt.Fprint(out, "Jain's index, of work over engines and of service over tenants:")
	for _, kind := range []string{"prefill", "decode", "mixed", "tenants"} {
		fmt.Fprintf(out, " %s %.3f", kind, r.Fairness[kind])
	}
	fmt.Fprintf(out, "\nresident memory: %.1f MiB, emulated engines and clients included\n", float64(residentBytes())/(1<<20))
	if reportFile != "" {
		b, err := r.JSON()
		if err == nil {
			err = os.WriteFile(reportFile, append(b, '\n'), 0o644)
		}
		if err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	if plotFile != "" {
		if err := chart.Draw(r, plotFile); err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	return reportError(r)
}

// residentBytes returns the resident memory of this process in bytes; 0 if it cannot be read.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// nodeProcess is a node that runs in its own process.
type nodeProcess struct {
	cmd    *exec.Cmd
	addr   net.Addr
	admin  string
	client *http.Client
}

// processLauncher starts each node as a process of this program, with its files in dir.
func processLauncher(dir string) scenario.Launch {
	return func(name string, text []byte) (scenario.Node, error) {
		var m map[string]any
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, err
		}
		m["admin"], m["state_dir"], m["log"] = "127.0.0.1:0", filepath.Join(dir, name), map[string]any{"level": "error"}
		b, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		file := filepath.Join(dir, name+".json")
		if err := os.WriteFile(file, b, 0o644); err != nil {
			return nil, err
		}
		cmd, addresses, err := startChild(context.Background(), 2, "serve", "--config", file)
		if err != nil {
			return nil, err
		}
		addr, err := net.ResolveTCPAddr("tcp", addresses[0])
		if err != nil {
			return nil, err
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
		return &nodeProcess{cmd: cmd, addr: addr, admin: addresses[1], client: client}, nil
	}
}

// Addr returns the address of the client listener.
func (p *nodeProcess) Addr() net.Addr { return p.addr }

// Ready reports whether the node accepts requests, according to its admin listener.
func (p *nodeProcess) Ready() bool {
	resp, err := p.client.Get("http://" + p.admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// Stop kills the process and waits for its end.
func (p *nodeProcess) Stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// Shutdown stops the process gracefully, and kills it if it has not ended 5 s after the given time.
func (p *nodeProcess) Shutdown(wait time.Duration) {
	p.cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() { p.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(wait + 5*time.Second):
		p.cmd.Process.Kill()
		<-ended
	}
}
