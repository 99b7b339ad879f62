package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/fleet"
	"dillroute/lab/record"
	"dillroute/lab/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Node is a running node, in this process or in another one.
type Node interface {
	Addr() net.Addr
	// Ready reports whether the node accepts requests.
	Ready() bool
	// Stop kills the node; requests in flight get no response.
	Stop()
	// Shutdown shuts the node down gracefully and waits at most this long.
	Shutdown(wait time.Duration)
}

// Launch starts a node from the JSON text of its configuration.
type Launch func(name string, config []byte) (Node, error)

// Options are the options of a run.
type Options struct {
	Launch   Launch
	Out      io.Writer      // messages about the start and end of faults; nil = discarded
	Progress func(Progress) // called once a second; nil = never
	Skew     float64        // scheduling delay that the checker tolerates (s); 0 = defaultSkew
	Files    int            // descriptors that nodes, engines and clients share in this process; 0 = each node has its own limit
}

const (
	// defaultSkew is the scheduling delay that the checker tolerates if Options.Skew is 0 (s).
	defaultSkew = 0.25
	// overtimeSeconds is how long a run may exceed its length before its clients and faults are canceled (s).
	overtimeSeconds = 30.0
	// finalWaitSeconds is how long the run then waits for canceled tasks before it ends without them (s).
	finalWaitSeconds = 20.0
	// releaseMargin is how much longer than rule 5 allows a run waits for state releases before it ends (s).
	releaseMargin = 0.2
)

// run is one run of a script. The fields before tasks do not change once the run has started.
type run struct {
	script     *Script
	options    Options
	dir        string // directory of the list files
	log        *record.Log
	fleet      *fleet.Fleet
	client     *client.Client
	listServer *emulator.ConsulServer // nil = each node has a list file
	nodes      []*nodeSlot
	start      time.Time
	ctx        context.Context // its end aborts the run

	tasks sync.WaitGroup // clients, faults and list deliveries

	serverMu     sync.Mutex // guards servedSerial and orders the updates of the list server
	servedSerial int        // serial of the list server's current list

	mu                   sync.Mutex // guards the fields below, and the changing fields of nodes
	listSerial           int
	extraListDelay       float64 // added to the script's list delay (s)
	extraDelayOfOddNodes float64 // added to the list delay of every second node (s)
	loadFactor           float64
	heavyTails           map[string]heavyTail // by class
	hotShare             float64              // share of the sessions that begin with the hot prefix
	hotSeed              uint64
	impatientShare       float64 // share of the requests whose client waits only a share of its patience
	rng                  *rand.Rand
	requests             int
	nodeStarts           int
	readyTimes           *hdrhistogram.Histogram // times from the start of a node until it is ready (µs)
}

// heavyTail multiplies the size of a share of a class's turns by a factor.
type heavyTail struct{ factor, share float64 }

// Run runs a script and returns its report. The end of the context aborts the run.
func Run(ctx context.Context, script *Script, options Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "dillroute-scenario-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if options.Skew == 0 {
		options.Skew = defaultSkew
	}
	if options.Out == nil {
		options.Out = io.Discard
	}
	r := newRun(script, options, dir)
	checker := rules.NewChecker(r.checkerConfig())
	counts := newTally(script, record.Now())
	r.log = &record.Log{Sink: func(x record.Record) {
		checker.Add(x)
		counts.add(x, checker.SlowStartUse().Share)
	}}
	r.client = client.New("", r.log)
	defer r.client.Close()
	r.fleet = fleet.New(r.engineMembers(), r.log)
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	defer r.fleet.Stop()
	if script.List.Server {
		r.listServer = emulator.NewConsulServer(1)
		if err := r.listServer.Start(); err != nil {
			return nil, err
		}
		defer r.listServer.Stop()
	}
	if err := r.startNodes(); err != nil {
		r.stopNodes()
		return nil, err
	}
	return r.execute(ctx, checker, counts), nil
}

func newRun(script *Script, options Options, dir string) *run {
	return &run{
		script:     script,
		options:    options,
		dir:        dir,
		loadFactor: 1,
		heavyTails: map[string]heavyTail{},
		rng:        rand.New(rand.NewPCG(script.Seed, 1)),
		readyTimes: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// execute starts the clients and faults once the nodes are running, waits for their end and returns the report.
func (r *run) execute(ctx context.Context, checker *rules.Checker, counts *tally) *Report {
	ctx, cancel := context.WithTimeout(ctx, seconds(r.script.LengthSeconds+overtimeSeconds))
	defer cancel()
	r.ctx = ctx
	r.start = time.Now()
	r.log.Hold(func() { counts.start = record.Now() })
	for _, f := range r.script.Faults {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.runFault(f)
		}()
	}
	if r.options.Progress != nil {
		stop := r.reportProgress(checker, counts)
		defer stop()
	}
	meter := startMeter()
	r.startSessions()
	unfinished := r.awaitTasks(ctx)
	machine := meter.stop()
	r.awaitStateReleases()
	r.stopNodes()
	records := r.log.Len()
	var report *Report
	r.log.Hold(func() { report = r.report(checker, counts) })
	report.Records = records
	report.Machine = machine
	report.Unfinished = unfinished
	return report
}

// awaitTasks waits until all clients, faults and list deliveries have ended. Once the context has ended it waits at most
// finalWaitSeconds, and describes what is still running.
func (r *run) awaitTasks(ctx context.Context) (unfinished string) {
	ended := make(chan struct{})
	go func() {
		r.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return ""
	case <-ctx.Done():
	}
	select {
	case <-ended:
		return ""
	case <-time.After(seconds(finalWaitSeconds)):
		return fmt.Sprintf("clients or faults were still running %.0f s after they were canceled; goroutines: %d",
			finalWaitSeconds, runtime.NumGoroutine())
	}
}

// awaitStateReleases waits for the time that rule 5 allows for the release of held states, and then ends the record.
func (r *run) awaitStateReleases() {
	time.Sleep(seconds(r.script.Rules.StateReleaseLimit + r.options.Skew + releaseMargin))
	r.log.Add(record.Record{Kind: record.RecordEnded})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil waits until a time of the run (s), but not beyond the end of the script. It returns false if the run was aborted.
func (r *run) sleepUntil(at float64) bool {
	at = min(at, r.script.LengthSeconds+0.001)
	timer := time.NewTimer(time.Until(r.start.Add(seconds(at))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// engineMembers returns the engines of the script as members of the fleet.
func (r *run) engineMembers() []fleet.Member {
	var members []fleet.Member
	r.script.eachEngine(func(id string, k Kind, g Group) {
		members = append(members, fleet.Member{Kind: k.Name, Cell: g.Cell, Zone: g.Zone, Settings: emulator.Settings{
			ID:                      id,
			Role:                    k.Role,
			Slots:                   k.Slots,
			QueueLimit:              k.Queue,
			MemoryTokens:            k.MemoryTokens,
			PrefillTokensPerSecond:  k.PrefillTokensPerSecond * g.Speed,
			DecodeStepMS:            k.StepMS / g.Speed,
			DecodeStepPerSequenceMS: k.PerSeqMS / g.Speed,
			TransferTokensPerSecond: k.TransferTokensPerSecond,
			SlowStartShare:          k.SlowStartShare,
			SlowStartSeconds:        k.SlowStartSeconds,
			LoadReportIntervalMS:    k.ReportMS,
			LocalPrefill:            r.script.Limits.LocalPrefill,
			StateTTLSeconds:         30,
			Seed:                    r.script.Seed*1000 + uint64(len(members)),
		}})
	})
	return members
}

// checkerListLag is the time that the checker allows a node to read a delivered list (s).
const checkerListLag = 0.2

// checkerConfig returns the checker's configuration: the parameters of the rules, and the classes and engines of the script.
func (r *run) checkerConfig() rules.Config {
	ruleValues := r.script.Rules
	config := rules.Config{
		Classes:           map[string]rules.Class{},
		Engines:           map[string]rules.Engine{},
		AnswerSlack:       ruleValues.AnswerSlack,
		DrainGrace:        ruleValues.DrainGrace,
		ListLag:           checkerListLag,
		OverloadMultiple:  ruleValues.OverloadMultiple,
		SlowStartWindow:   ruleValues.SlowStartWindow,
		StateReleaseLimit: ruleValues.StateReleaseLimit,
		Skew:              r.options.Skew,
	}
	for _, c := range r.script.Classes {
		config.Classes[c.Name] = rules.Class{Effect: c.Effect, Group: c.Group, KeyTTL: c.KeyTTL}
	}
	r.script.eachEngine(func(id string, k Kind, g Group) {
		config.Engines[id] = rules.Engine{
			Cell:                   g.Cell,
			Zone:                   g.Zone,
			PrefillTokensPerSecond: k.PrefillTokensPerSecond * g.Speed,
			DecodeTokensPerSecond:  k.decodeTokensPerSecond(g.Speed),
			SlowStartShare:         k.SlowStartShare,
			SlowStartSeconds:       k.SlowStartSeconds,
		}
	})
	return config
}

// decodeTokensPerSecond returns the decode rate of an engine of the kind after its slow start, with all slots in use. speed is the factor
// of the engine's group.
func (k Kind) decodeTokensPerSecond(speed float64) float64 {
	slots := float64(k.Slots)
	return slots / ((k.StepMS + k.PerSeqMS*slots) / 1000 / speed)
}
