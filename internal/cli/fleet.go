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
	var report, picture, trouble string
	var release bool
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run many nodes that share nothing, restart them at random and judge the rules over all of them",
		Long: `Run a fleet of nodes before emulated engines, with a front layer that goes on sending to a dead node for a while. Nodes are
killed and restarted at random by the seed, engines die and come back in slow start, the list is late, and at the end all nodes restart
within a second. The rules are judged over all nodes together as the run goes on; memory does not grow with its length. Nodes
run within this process, or with --processes each in one of its own.

` + exitCodesDoc,
		Example: "  dillroute fleet\n" +
			"  dillroute fleet --nodes 300 --engines 40 --rate 150 --seconds 1200 --report fleet.json --plot fleet.png\n" +
			"  dillroute fleet --nodes 20 --load 1.1 --release --churn 0 --restarts 0\n" +
			"  dillroute fleet --processes --nodes 20",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := fleetScript(p, trouble, release)
			if err != nil {
				return err
			}
			return runFleet(s, processes, report, picture, cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&p.Nodes, "nodes", p.Nodes, "nodes")
	f.IntVar(&p.Engines, "engines", p.Engines, "emulated engines")
	f.Float64Var(&p.SessionsPerSecond, "rate", p.SessionsPerSecond, "requests a second")
	f.Float64Var(&p.Load, "load", 0, "requests a second as a part of what the engines can do, in place of --rate")
	f.StringVar(&trouble, "trouble", "", "add the faults of this scenario script")
	f.BoolVar(&release, "release", false, "restart all prefill engines in steps, a third at a time")
	f.Float64Var(&p.Length, "seconds", p.Length, "length of the run")
	f.Float64Var(&p.NodeRestartsPerSecond, "restarts", p.NodeRestartsPerSecond, "nodes killed and restarted a second")
	f.Float64Var(&p.EngineRestartsPerSecond, "churn", p.EngineRestartsPerSecond, "engines that die and come back in slow start a second")
	f.Float64Var(&p.ListDelay, "notice", p.ListDelay, "seconds by which the list is late")
	f.BoolVar(&p.ListServer, "list-server", false, "nodes ask one list server by blocking queries, in place of a file each")
	f.BoolVar(&p.RestartAllNodes, "roll", p.RestartAllNodes, "restart all nodes within a second near the end")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of load, restarts and engines")
	f.BoolVar(&processes, "processes", false, "run each node in a process of its own")
	f.StringVar(&picture, "plot", "", "draw service, nodes, fairness and slow-start budgets over time as PNG to this file")
	f.StringVar(&report, "report", "", "write the report as JSON to this file")
	return c
}

// fleetScript makes the scenario of a fleet, with the faults of a script or a rolling restart of the prefill engines added.
func fleetScript(p scenario.FleetPlan, trouble string, release bool) (*scenario.Script, error) {
	if p.Nodes < 1 || p.Engines < 3 || p.Length < 5 || p.Load < 0 {
		return nil, withExitCode(ExitUsage, fmt.Errorf("a fleet has 1 node, 3 engines and 5 seconds at least, and a load above 0"))
	}
	if release {
		prefillEngines := p.Script().PrefillEngines()
		third := (len(prefillEngines) + 2) / 3
		p.Faults = scenario.RestartFaults(prefillEngines, third, 0.25*p.Length, 0.15*p.Length, min(2, 0.1*p.Length))
	}
	if trouble != "" {
		text, err := os.ReadFile(trouble)
		if err != nil {
			return nil, withExitCode(ExitConfig, err)
		}
		script, err := scenario.Parse(text)
		if err != nil {
			return nil, withExitCode(ExitConfig, fmt.Errorf("%s:\n%w", trouble, err))
		}
		p.Faults = append(p.Faults, script.Faults...)
	}
	s := p.Script()
	if err := s.Check(); err != nil {
		return nil, withExitCode(ExitConfig, fmt.Errorf("%s does not fit this fleet:\n%w", cmp.Or(trouble, "the plan"), err))
	}
	return s, nil
}

func runFleet(s *scenario.Script, processes bool, report, picture string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := scenario.Options{Launch: inProcessLauncher(io.Discard), Skew: 0.5, Progress: func(q scenario.Progress) {
		fmt.Fprintf(out, "\r%5.0f of %.0f s  %d nodes up, %d starts  %d served in time of %d  slow-start budget %.0f%%  %d breaches   ",
			q.T, q.Length, q.Up, q.Starts, q.ServedInTime, q.Ended, 100*q.SlowStartUse, q.Violations)
	}}
	o.Files = service.DescriptorLimit()
	if processes {
		o.Files = 0
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
	fmt.Fprintf(out, "\n%d starts of nodes, ready after %.0f ms at the 99th percentile\n", r.Starts, 1000*r.ReadyP99)
	fmt.Fprintf(out, "sends to an engine in slow start: at most %.0f%% of its budget in any window\n", 100*r.SlowStartUse.Share)
	fmt.Fprint(out, "Jain's index, of work over engines and of service over tenants:")
	for _, kind := range []string{"prefill", "decode", "mixed", "tenants"} {
		fmt.Fprintf(out, " %s %.3f", kind, r.Fairness[kind])
	}
	fmt.Fprintf(out, "\nresident memory: %.1f MiB, emulated engines and clients included\n", float64(residentSelf())/(1<<20))
	if report != "" {
		b, err := r.JSON()
		if err == nil {
			err = os.WriteFile(report, append(b, '\n'), 0o644)
		}
		if err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	if picture != "" {
		if err := chart.Draw(r, picture); err != nil {
			return withExitCode(ExitRun, err)
		}
	}
	return reportError(r)
}

// residentSelf reads this process' resident bytes.
func residentSelf() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// process is a node in a process of its own.
type process struct {
	cmd    *exec.Cmd
	addr   net.Addr
	admin  string
	client *http.Client
}

// processLauncher starts nodes as processes of this program.
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
		cmd, addresses, err := child(context.Background(), 2, "serve", "--config", file)
		if err != nil {
			return nil, err
		}
		addr, err := net.ResolveTCPAddr("tcp", addresses[0])
		if err != nil {
			return nil, err
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
		return &process{cmd: cmd, addr: addr, admin: addresses[1], client: client}, nil
	}
}

// Addr is where clients connect.
func (p *process) Addr() net.Addr { return p.addr }

// Ready asks the admin listener whether the node may be sent requests.
func (p *process) Ready() bool {
	resp, err := p.client.Get("http://" + p.admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// Stop kills the process.
func (p *process) Stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// Shutdown ends it in good order.
func (p *process) Shutdown(wait time.Duration) {
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
