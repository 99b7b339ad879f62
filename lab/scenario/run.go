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

// Node is a running node, whatever started it.
type Node interface {
	Addr() net.Addr
	// Ready reports whether the node may be sent requests.
	Ready() bool
	// Stop kills the node: the requests in flight get no response.
	Stop()
	// Shutdown ends the node gracefully, within the wait.
	Shutdown(wait time.Duration)
}

// Launch starts a node from the text of its configuration.
type Launch func(name string, config []byte) (Node, error)

// Options are the options of a run.
type Options struct {
	Launch   Launch
	Out      io.Writer      // for the start and end of faults; nil = none
	Progress func(Progress) // called once a second; nil = never
	Skew     float64        // that the checker allows for scheduling (s); 0 = defaultSkew
	Files    int            // descriptors of the process that nodes, engines and clients share; 0 = each node has a limit of its own
}

const (
	// defaultSkew is what the checker allows for scheduling if the options do not say it (s).
	defaultSkew = 0.25
	// overtimeSeconds is how long after its length a run may go on until its clients are told to stop (s).
	overtimeSeconds = 30.0
	// finalWaitSeconds is how long after that the run ends without the tasks that still run (s).
	finalWaitSeconds = 20.0
	// releaseMargin is how much longer than rule 5 allows a run waits for states to be released before it ends (s).
	releaseMargin = 0.2
)

// run is one run of a script. The fields up to tasks do not change once the run has started.
type run struct {
	script     *Script
	options    Options
	dir        string // of the list files
	log        *record.Log
	fleet      *fleet.Fleet
	client     *client.Client
	listServer *emulator.ConsulServer // nil = a list file for each node
	nodes      []*nodeSlot
	start      time.Time
	ctx        context.Context // ends the run early

	tasks sync.WaitGroup // clients, faults and list deliveries

	serverMu     sync.Mutex // guards servedSerial and the order of lists at the list server
	servedSerial int        // of the newest list that the list server has

	mu                   sync.Mutex // guards all that follows, and the changing fields of nodes
	listSerial           int
	extraListDelay       float64 // added to the script's delay of lists (s)
	extraDelayOfOddNodes float64 // added for every second node (s)
	loadFactor           float64
	heavyTails           map[string]heavyTail // by class
	hotShare             float64              // of sessions that begin with the hot prefix
	hotSeed              uint64
	impatientShare       float64 // of requests whose client waits a part of its patience only
	rng                  *rand.Rand
	requests             int
	nodeStarts           int
	readyTimes           *hdrhistogram.Histogram // from the start of a node until it is ready (µs)
}

// heavyTail makes a share of a class's prompts longer by a factor.
type heavyTail struct{ factor, share float64 }

// Run plays a script and reports. The context ends the run early.
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
	return r.play(ctx, checker, counts), nil
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

// play starts clients and faults before the running nodes, waits for their end and reports.
func (r *run) play(ctx context.Context, checker *rules.Checker, counts *tally) *Report {
	ctx, cancel := context.WithTimeout(ctx, seconds(r.script.LengthSeconds+overtimeSeconds))
	defer cancel()
	r.ctx = ctx
	r.start = time.Now()
	r.log.Hold(func() { counts.start = record.Now() })
	for _, f := range r.script.Faults {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.playFault(f)
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

// awaitTasks waits until all clients and faults have ended. Once the context has ended it waits a bounded time and returns what
// still runs.
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
		return fmt.Sprintf("clients or troubles still ran %.0f s after the day was to end; goroutines: %d",
			finalWaitSeconds, runtime.NumGoroutine())
	}
}

// awaitStateReleases gives states that wait at engines the time that rule 5 allows before the record ends.
func (r *run) awaitStateReleases() {
	time.Sleep(seconds(r.script.Rules.StateReleaseLimit + r.options.Skew + releaseMargin))
	r.log.Add(record.Record{Kind: record.RecordEnded})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil waits until a time of the run (s), at most until the end of the script. It returns false if the run was ended.
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

// engineMembers returns the engines of the script as the fleet starts them.
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

// checkerListLag is how long a node may take to read its list once the list has been delivered (s).
const checkerListLag = 0.2

// checkerConfig returns the figures of the rules and what the checker needs to know of classes and engines.
func (r *run) checkerConfig() rules.Config {
	figures := r.script.Rules
	config := rules.Config{
		Classes:           map[string]rules.Class{},
		Engines:           map[string]rules.Engine{},
		AnswerSlack:       figures.AnswerSlack,
		DrainGrace:        figures.DrainGrace,
		ListLag:           checkerListLag,
		OverloadMultiple:  figures.OverloadMultiple,
		SlowStartWindow:   figures.SlowStartWindow,
		StateReleaseLimit: figures.StateReleaseLimit,
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

// decodeTokensPerSecond returns the rate of a warm engine of the kind with all slots in use, at a speed.
func (k Kind) decodeTokensPerSecond(speed float64) float64 {
	slots := float64(k.Slots)
	return slots / ((k.StepMS + k.PerSeqMS*slots) / 1000 / speed)
}
