package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// benchDay is the part of a day file of the bench that has a counterpart in a script. The bench is the simulator to which cmd/adapter
// connects schedulers. A field without a tag has the name that the file uses, except for case. Times are in microseconds unless a name
// says otherwise.
type benchDay struct {
	Site     string
	Family   string
	Length   float64
	Zones    []string
	Front    float64 `json:"front_notice"` // time after which clients avoid a node that is down
	Noise    uint64  // seed of the day
	Grace    float64 `json:"drain_grace"`   // grace period of rule 3
	Multiple float64 `json:"fall_multiple"` // overload multiple of rule 4
	FallFor  float64 `json:"fall_for"`      // slow-start window of rule 4
	Traffic  struct {
		Shape [][2]float64
	}
	Clients struct {
		Retries   int
		TryShare  float64 `json:"try_share"`
		BackoffUS float64 `json:"backoff_us"`
	}
	Discovery struct{ Notice float64 }
	Allow     struct {
		MaxAttempts int `json:"max_attempts"`
	}
	Classes []struct {
		Name     string
		Share    float64
		Aim      float64
		Deadline float64
		Effect   string
		Group    string
		Window   float64
	}
	Tiers []struct {
		Kinds []struct {
			Name           string
			Slots, Queue   int
			SlowStartShare float64 `json:"cold_from"`
			SlowStart      float64 `json:"cold"`
		}
		Report         float64 `json:"report_period"`
		SlowStartShare float64 `json:"stated_cold_from"`
		SlowStart      float64 `json:"stated_cold"`
	}
	Servers []struct {
		Zone, Kind, Cell int
		Speed            float64
	}
	Balancers []struct{ Zone int }
	Faults    []struct {
		Kind        string
		At, Len     float64
		Size, Extra float64
		On          []int // positions of the affected engines in Servers
		Which       int   // position of the affected class or zone
		Part        float64
	} `json:"troubles"`
	Fam struct {
		Engines []struct {
			Memory, Queue, Slots int
			PerSeq               float64 `json:"per_seq_ms"`
			ReadPerS             float64 `json:"read_per_s"`
			StepMS               float64 `json:"step_ms"`
		}
		Near    float64  // rate at which KV states are transferred (tokens/s)
		Release float64  // limit of rule 5 for the release of a state
		Roles   []string // of the kinds of engines: "read", "write" or another one for mixed engines
		Reads   bool     `json:"writers_read"` // decode engines may prefill
		Talks   []struct {
			AimPerK      float64 `json:"aim_ms_per_k"`
			NewTokens    float64 `json:"new_tokens"`
			NewSigma     float64 `json:"new_sigma"`
			OutTokens    float64 `json:"out_tokens"`
			OutSigma     float64 `json:"out_sigma"`
			MaxOut       int     `json:"max_out"`
			Prefixes     int
			PrefixShare  float64 `json:"prefix_share"`
			PrefixTokens float64 `json:"prefix_tokens"`
			Turns        float64
			Think        float64 `json:"think_s"`
			TokenMS      float64 `json:"token_ms"`
		}
	}
}

const (
	// microseconds is the number of a day file's time units in a second.
	microseconds = 1e6
	// answerSlackSeconds is the slack of rule 1, which day files do not contain.
	answerSlackSeconds = 0.05
	// shapePoints is the minimum number of points to which a load curve is reduced. A curve of fewer than twice as many points stays as it
	// is.
	shapePoints = 20
)

// Convert converts a day file of the bench into a script. rate is the number of sessions per second, and length the length of the scenario
// in seconds; length 0 keeps the length of the day file. What has no counterpart on sockets (prices, shares of tenants) is omitted.
func Convert(text []byte, rate, length float64) (*Script, error) {
	var day benchDay
	if err := json.Unmarshal(text, &day); err != nil {
		return nil, fmt.Errorf("not a day file: %w", err)
	}
	if day.Family != "twostage" || len(day.Fam.Engines) == 0 || len(day.Tiers) == 0 || day.Length <= 0 {
		return nil, fmt.Errorf("not a day with prefill and decode engines: family %q, %d kinds of engine", day.Family, len(day.Fam.Engines))
	}
	dayLength := day.Length / microseconds
	if length <= 0 {
		length = dayLength
	}
	timeFactor := length / dayLength
	s := newScript(&day, rate, length, timeFactor)
	s.addKinds(&day)
	ids, err := s.addEngines(&day)
	if err != nil {
		return nil, err
	}
	s.addClasses(&day)
	s.addFaults(&day, ids, timeFactor)
	s.defaults()
	return s, s.Check()
}

// newScript returns the script of a day file without its kinds, engines, classes and faults.
func newScript(day *benchDay, rate, length, timeFactor float64) *Script {
	tier := day.Tiers[0]
	return &Script{
		Name:          day.Site,
		Seed:          day.Noise % 1_000_000,
		LengthSeconds: length,
		Nodes:         max(1, len(day.Balancers)),
		Zones:         zonesOf(day),
		Load:          Load{SessionsPerSecond: rate, Shape: downsampleShape(day.Traffic.Shape)},
		Clients: Clients{
			Retries:               day.Clients.Retries,
			Backoff:               day.Clients.BackoffUS / microseconds,
			FailureDetectionDelay: day.Front / microseconds,
			AttemptShare:          day.Clients.TryShare,
		},
		List: List{Delay: day.Discovery.Notice / microseconds * timeFactor},
		Rules: Rules{
			AnswerSlack:       answerSlackSeconds,
			DrainGrace:        day.Grace / microseconds,
			OverloadMultiple:  day.Multiple,
			SlowStartWindow:   day.FallFor / microseconds,
			StateReleaseLimit: day.Fam.Release / microseconds,
			SlowStartShare:    tier.SlowStartShare,
			SlowStartSeconds:  tier.SlowStart / microseconds,
		},
		Limits: Limits{MaxAttempts: day.Allow.MaxAttempts, LocalPrefill: day.Fam.Reads},
	}
}

func (s *Script) addKinds(day *benchDay) {
	tier := day.Tiers[0]
	for i, k := range tier.Kinds {
		engine := day.Fam.Engines[min(i, len(day.Fam.Engines)-1)]
		s.Kinds = append(s.Kinds, Kind{
			Name:                    k.Name,
			Role:                    roleOf(day, i),
			Slots:                   engine.Slots,
			Queue:                   engine.Queue,
			MemoryTokens:            engine.Memory,
			PrefillTokensPerSecond:  engine.ReadPerS,
			StepMS:                  engine.StepMS,
			PerSeqMS:                engine.PerSeq,
			TransferTokensPerSecond: day.Fam.Near,
			SlowStartShare:          k.SlowStartShare,
			SlowStartSeconds:        k.SlowStart / microseconds,
			ReportMS:                tier.Report / 1e3,
		})
	}
}

// addEngines adds the engines of a day file and returns their ids, in the order of the file.
func (s *Script) addEngines(day *benchDay) ([]string, error) {
	var ids []string
	counts := map[string]int{}
	for _, server := range day.Servers {
		if server.Kind < 0 || server.Kind >= len(s.Kinds) {
			return nil, fmt.Errorf("a server has kind %d, but the number of kinds is %d", server.Kind, len(s.Kinds))
		}
		g := Group{Kind: s.Kinds[server.Kind].Name, Count: 1, Cell: fmt.Sprint("c", server.Cell), Speed: server.Speed}
		if server.Zone < len(s.Zones) {
			g.Zone = s.Zones[server.Zone]
		}
		s.Engines = append(s.Engines, g)
		base := g.Kind + "-" + g.Cell
		counts[base]++
		ids = append(ids, fmt.Sprintf("%s-%d", base, counts[base]))
	}
	return ids, nil
}

// roleOf returns the role of the engines of a kind.
func roleOf(day *benchDay, kind int) string {
	if kind < len(day.Fam.Roles) {
		switch day.Fam.Roles[kind] {
		case "read":
			return "prefill"
		case "write":
			return "decode"
		}
	}
	return "mixed"
}

// zonesOf returns the zones of a day file, or nil if there is only one.
func zonesOf(day *benchDay) []string {
	if len(day.Zones) < 2 {
		return nil
	}
	return day.Zones
}

// downsampleShape reduces the load curve of a day file to shapePoints points or more, but fewer than twice as many. The times of the points
// are shares of its duration, and their loads are relative to the mean load.
func downsampleShape(points [][2]float64) [][2]float64 {
	if len(points) == 0 {
		return nil
	}
	end := points[len(points)-1][0]
	sum := 0.0
	for _, p := range points {
		sum += p[1]
	}
	if end <= 0 || sum <= 0 {
		return nil
	}
	mean := sum / float64(len(points))
	step := max(1, len(points)/shapePoints)
	var downsampled [][2]float64
	for i := 0; i < len(points); i += step {
		downsampled = append(downsampled, [2]float64{points[i][0] / end, points[i][1] / mean})
	}
	return downsampled
}

func (s *Script) addClasses(day *benchDay) {
	effects := map[string]string{"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
	for i, c := range day.Classes {
		talk := day.Fam.Talks[min(i, len(day.Fam.Talks)-1)]
		s.Classes = append(s.Classes, Class{
			Name:                  c.Name,
			Effect:                effects[c.Effect],
			Group:                 c.Group,
			KeyTTL:                c.Window / microseconds,
			Share:                 c.Share,
			LatencyObjective:      c.Aim / microseconds,
			LatencyObjectivePerK:  talk.AimPerK / 1e3,
			Patience:              c.Deadline / microseconds,
			PatiencePerK:          2 * talk.AimPerK / 1e3,
			TokenLatencyObjective: talk.TokenMS / 1e3,
			MaxTokens:             talk.MaxOut,
			NewTokens:             talk.NewTokens,
			NewSigma:              talk.NewSigma,
			AnswerTokens:          talk.OutTokens,
			AnswerSigma:           talk.OutSigma,
			Prefixes:              talk.Prefixes,
			PrefixShare:           talk.PrefixShare,
			PrefixTokens:          int(talk.PrefixTokens),
			Turns:                 talk.Turns,
			Think:                 talk.Think,
		})
	}
}

// addFaults adds the faults of a day file. ids are the ids of its engines, in the order of the file.
func (s *Script) addFaults(day *benchDay, ids []string, timeFactor float64) {
	for _, benchFault := range day.Faults {
		f := Fault{
			Kind:  benchFault.Kind,
			At:    benchFault.At / microseconds * timeFactor,
			Len:   benchFault.Len / microseconds * timeFactor,
			Size:  benchFault.Size,
			Extra: benchFault.Extra,
			Part:  benchFault.Part,
		}
		for _, i := range benchFault.On {
			if i >= 0 && i < len(ids) {
				f.Engines = append(f.Engines, ids[i])
			}
		}
		f.adapt(day, benchFault.Which, s)
		s.Faults = append(s.Faults, f)
	}
}

// adapt converts the values of a fault of the bench to the units and defaults of its counterpart in a script.
func (f *Fault) adapt(day *benchDay, which int, s *Script) {
	if f.Part == 0 && len(f.Engines) == 0 {
		f.Part = defaultPart
	}
	switch f.Kind {
	case "heavy_tail":
		if which >= 0 && which < len(day.Classes) {
			f.Class = day.Classes[which].Name
		}
	case "zone_cut", "zone_loss":
		if which >= 0 && which < len(s.Zones) {
			f.Zone = s.Zones[which]
		}
	case "discovery_stale":
		f.Size = toUnit(f.Size, microseconds)
	case "balancer_roll":
		f.Part = 1
		f.Size = math.Max(0.05, math.Min(1, f.Size))
		f.Extra = toUnit(f.Extra, microseconds)
	case "handshake_slow", "pauses":
		f.Size = toUnit(f.Size, 1e3) // from microseconds to milliseconds
	}
	if !slices.Contains(FaultKinds(), f.Kind) {
		return // the kind exists on the bench only: Check reports it
	}
	f.Len = math.Min(f.Len, s.LengthSeconds-f.At)
}

// toUnit converts a time of a day file from microseconds to a unit of this many microseconds. A value of at most minMicroseconds is
// returned unchanged, because the file already gives it in that unit.
func toUnit(value, unit float64) float64 {
	const minMicroseconds = 1000 // times in microseconds are longer than this
	if value > minMicroseconds {
		return value / unit
	}
	return value
}
