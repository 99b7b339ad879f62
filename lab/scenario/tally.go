package scenario

import (
	"cmp"
	"regexp"
	"slices"

	"dillroute/lab/record"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// operationIdleSeconds is the time without a record after which an operation counts as ended (s). Until then its client may retry.
	operationIdleSeconds = 15.0
	// sweepSeconds is the time between two sweeps for operations that have ended (s).
	sweepSeconds = operationIdleSeconds / 3
	// pointSeconds is the time that a point of the series covers (s).
	pointSeconds = 2.0
	// maxPoints bounds the length of the series in long runs.
	maxPoints = 5000
	// maxCauses bounds the number of causes that are counted separately; all others are counted together.
	maxCauses = 50
	// faultMarginSeconds is the time after its end during which a fault still counts as active (s).
	faultMarginSeconds = 1.0
	// framingEvents is the number of events of a complete stream that carry no text: the chunk with finish_reason and [DONE].
	framingEvents = 2
)

// tally counts operations by their outcome. An operation is counted once it has a final response or disconnect and
// has had no further record for operationIdleSeconds.
type tally struct {
	script      *Script
	start       float64 // Unix seconds
	operations  map[string]*operation
	rows        map[rowKey]*Row
	sentWork    map[string]float64 // work that arrived at each engine, in tokens
	windowWork  map[string]float64 // the same since the last point of the series
	engineKinds map[string]string
	tenants     map[string]*tenantCounts
	series      []Point
	lostByCause map[string]int // attempts without a final response, by the error that the client saw
	nodesUp     int
	lastSweep   float64
}

// operation is the state of one operation. Times are in Unix seconds.
type operation struct {
	class, tenant   string
	firstSent       float64       // time of its first attempt
	lastSent        float64       // time of its last attempt
	final           record.Record // final response or disconnect of the last attempt; zero = none yet
	firstTokenDelay float64       // of the last attempt (s); 0 = no token yet
	firstTokenAt    float64
	promptTokens    float64
	lastRecord      float64 // time of its last record
}

// rowKey identifies a row by its fault and class.
type rowKey struct{ fault, class string }

// tenantCounts counts the operations of a tenant: all of them, and those served in time.
type tenantCounts struct{ requests, servedInTime float64 }

func newTally(script *Script, start float64) *tally {
	return &tally{
		script:      script,
		start:       start,
		operations:  map[string]*operation{},
		rows:        map[rowKey]*Row{},
		sentWork:    map[string]float64{},
		windowWork:  map[string]float64{},
		engineKinds: engineKindsOf(script),
		tenants:     map[string]*tenantCounts{},
		lostByCause: map[string]int{},
	}
}

func engineKindsOf(s *Script) map[string]string {
	kinds := map[string]string{}
	s.eachEngine(func(id string, k Kind, _ Group) { kinds[id] = k.Name })
	return kinds
}

// totals returns how many operations have ended, and how many of them were served in time.
func (t *tally) totals() (ended, servedInTime int) {
	for key, row := range t.rows {
		if key.fault == wholeRun {
			ended += row.Sent
			servedInTime += row.ServedInTime
		}
	}
	return ended, servedInTime
}

// add adds a record. slowStartUse is the greatest share of a slow-start budget that was used so far.
func (t *tally) add(r record.Record, slowStartUse float64) {
	t.addToSeries(r, slowStartUse)
	t.addToOperation(r)
	if r.T > t.lastSweep+sweepSeconds {
		t.sweep(r.T)
	}
}

// addToSeries counts a record in the current point of the series, after beginning the next point if it is due.
func (t *tally) addToSeries(r record.Record, slowStartUse float64) {
	at := r.T - t.start
	if len(t.series) == 0 {
		t.series = append(t.series, Point{T: 0})
	} else if at > t.series[len(t.series)-1].T+pointSeconds {
		t.nextPoint(at, slowStartUse)
	}
	point := &t.series[len(t.series)-1]
	switch r.Kind {
	case record.RequestSent:
		if t.operations[r.Op] == nil {
			point.Sent++
		}
	case record.AttemptArrived:
		t.sentWork[r.Engine] += r.Work
		t.windowWork[r.Engine] += r.Work
	case record.NodeStarted:
		t.nodesUp++
	case record.NodeKilled:
		if r.Note == "" {
			t.nodesUp--
		}
	case record.FinalResponse:
		if r.Outcome == record.Served {
			point.Served++
		}
	}
}

// nextPoint completes the current point of the series and begins the next one.
func (t *tally) nextPoint(at, slowStartUse float64) {
	workByKind := map[string][]float64{}
	for id, kind := range t.engineKinds {
		workByKind[kind] = append(workByKind[kind], t.windowWork[id])
	}
	last := &t.series[len(t.series)-1]
	last.SlowStartUse = slowStartUse
	last.NodesUp = t.nodesUp
	last.Fairness = map[string]float64{}
	for kind, work := range workByKind {
		last.Fairness[kind] = jainIndex(work)
	}
	clear(t.windowWork)
	if len(t.series) < maxPoints {
		t.series = append(t.series, Point{T: at})
	}
}

// addToOperation updates the operation of a record.
func (t *tally) addToOperation(r record.Record) {
	if r.Kind == record.RequestSent {
		t.requestSent(r)
		return
	}
	if r.Kind == record.FinalResponse {
		t.countLoss(r)
	}
	op := t.operations[r.Op]
	if op == nil {
		return
	}
	switch r.Kind {
	case record.AttemptArrived:
		op.promptTokens = r.Tokens
	case record.FirstToken:
		op.firstTokenDelay = r.T - op.lastSent
		op.firstTokenAt = r.T
	case record.FinalResponse, record.ClientDisconnected:
		op.final = r
	default:
		return
	}
	op.lastRecord = r.T
}

// requestSent begins an operation or its next attempt.
func (t *tally) requestSent(r record.Record) {
	op := t.operations[r.Op]
	if op == nil {
		op = &operation{class: r.Class, tenant: r.Tenant, firstSent: r.T}
		t.operations[r.Op] = op
	}
	op.lastSent = r.T
	op.firstTokenDelay = 0
	op.firstTokenAt = 0
	op.lastRecord = r.T
	op.final = record.Record{}
}

// addressPattern matches the URLs and addresses in a cause, which are removed so that equal causes are counted together.
var addressPattern = regexp.MustCompile(`"http://[^"]*"|\d+\.\d+\.\d+\.\d+:\d+`)

// countLoss counts an attempt without a final response by the error that its client saw.
func (t *tally) countLoss(r record.Record) {
	switch r.Outcome {
	case record.Served, record.Rejected, record.Failed:
		return
	}
	cause := string(r.Outcome) + ": " + addressPattern.ReplaceAllString(r.Note, "…")
	if _, known := t.lostByCause[cause]; !known && len(t.lostByCause) >= maxCauses {
		cause = "others"
	}
	t.lostByCause[cause]++
}

// sweep counts and removes the operations that have ended.
func (t *tally) sweep(now float64) {
	t.lastSweep = now
	for id, op := range t.operations {
		if op.final.Kind != "" && now > op.lastRecord+operationIdleSeconds {
			t.countOperation(op)
			delete(t.operations, id)
		}
	}
}

// close counts the remaining operations and returns the rows: first those of the whole run, then those without a fault, then those of the
// faults by name.
func (t *tally) close() []Row {
	for _, op := range t.operations {
		t.countOperation(op)
	}
	t.operations = nil
	var rows []Row
	for _, row := range t.rows {
		row.FirstTokenP50 = float64(row.firstTokenDelays.ValueAtQuantile(50)) / 1e6
		row.FirstTokenP99 = float64(row.firstTokenDelays.ValueAtQuantile(99)) / 1e6
		if row.streams > 0 {
			row.TokensPerSecond = row.tokenRateSum / float64(row.streams)
		}
		rows = append(rows, *row)
	}
	order := map[string]int{wholeRun: -2, noFault: -1}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order[a.Fault], order[b.Fault]), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Class, b.Class))
	})
	return rows
}

// faultsAt returns the kinds of the faults that are active at a time, or noFault if there are none.
func (t *tally) faultsAt(at float64) []string {
	var names []string
	for _, f := range t.script.Faults {
		since := at - t.start
		if since >= f.At && since <= f.At+f.Len+faultMarginSeconds && !slices.Contains(names, f.Kind) {
			names = append(names, f.Kind)
		}
	}
	if len(names) == 0 {
		names = []string{noFault}
	}
	return names
}

// countOperation counts an operation for its tenant and in the rows of its class: those of the faults that were active when its first
// attempt was sent, and that of the whole run.
func (t *tally) countOperation(op *operation) {
	tenant := t.tenants[op.tenant]
	if tenant == nil {
		tenant = &tenantCounts{}
		t.tenants[op.tenant] = tenant
	}
	tenant.requests++
	for _, fault := range append(t.faultsAt(op.firstSent), wholeRun) {
		key := rowKey{fault, op.class}
		if t.rows[key] == nil {
			t.rows[key] = &Row{Fault: fault, Class: op.class, firstTokenDelays: hdrhistogram.New(1, 600_000_000, 3)}
		}
		t.countInRow(t.rows[key], op)
	}
}

func (t *tally) countInRow(row *Row, op *operation) {
	row.Sent++
	if op.final.Kind == record.ClientDisconnected {
		row.Disconnected++
		return
	}
	switch op.final.Outcome {
	case record.Served:
		t.countServed(row, op)
	case record.Rejected:
		row.Rejected++
	case record.Failed:
		row.Failed++
	default:
		row.Lost++
	}
}

// countServed counts a served operation. The delay of the first token is measured from the start of the last attempt.
func (t *tally) countServed(row *Row, op *operation) {
	firstToken, perToken := op.timings()
	if t.meetsObjectives(op, firstToken, perToken) {
		row.ServedInTime++
		if row.Fault == wholeRun {
			t.tenants[op.tenant].servedInTime++
		}
	} else {
		row.ServedLate++
	}
	if firstToken > 0 {
		row.firstTokenDelays.RecordValue(int64(firstToken * 1e6))
	}
	if perToken > 0 {
		row.streams++
		row.tokenRateSum += 1 / perToken
	}
}

// timings returns the time to the first token and the time per output token (s). Each is 0 if the client could not observe it, as with a
// response that was not streamed.
func (op *operation) timings() (firstToken, perToken float64) {
	events := op.final.Tokens
	if events == 0 {
		return 0, 0
	}
	if events > framingEvents {
		perToken = (op.final.T - op.firstTokenAt) / (events - framingEvents)
	}
	return op.firstTokenDelay, perToken
}

func (t *tally) meetsObjectives(op *operation, firstToken, perToken float64) bool {
	i := slices.IndexFunc(t.script.Classes, func(c Class) bool { return c.Name == op.class })
	class := t.script.Classes[i]
	objective := class.LatencyObjective + class.LatencyObjectivePerK*op.promptTokens/1000
	return !(firstToken > objective || perToken > class.TokenLatencyObjective)
}
