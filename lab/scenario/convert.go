package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// benchDay is the part of a bench's day file that a script can hold. Times are in microseconds.
type benchDay struct {
	Site     string
	Family   string
	Length   float64
	Zones    []string
	Front    float64 `json:"front_notice"`
	Noise    uint64
	Grace    float64 `json:"drain_grace"`
	Multiple float64 `json:"fall_multiple"`
	FallFor  float64 `json:"fall_for"`
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
			Name         string
			Slots, Queue int
			ColdFrom     float64 `json:"cold_from"`
			Cold         float64
		}
		Report   float64 `json:"report_period"`
		ColdFrom float64 `json:"stated_cold_from"`
		ColdFor  float64 `json:"stated_cold"`
	}
	Servers []struct {
		Zone, Kind, Cell int
		Speed            float64
	}
	Balancers []struct{ Zone int }
	Troubles  []struct {
		Kind        string
		At, Len     float64
		Size, Extra float64
		On          []int
		Which       int
		Part        float64
	}
	Fam struct {
		Engines []struct {
			Memory, Queue, Slots int
			PerSeq               float64 `json:"per_seq_ms"`
			ReadPerS             float64 `json:"read_per_s"`
			StepMS               float64 `json:"step_ms"`
		}
		Near    float64
		Release float64
		Roles   []string
		Reads   bool `json:"writers_read"`
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

// Convert turns a bench's day file into a script of so many sessions a second; length 0 keeps the day's own, in
// seconds. What has no counterpart on sockets (prices, tenants' shares) is left out.
func Convert(text []byte, rate, length float64) (*Script, error) {
	var b benchDay
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("not a day file: %w", err)
	}
	if b.Family != "twostage" || len(b.Fam.Engines) == 0 || len(b.Tiers) == 0 || b.Length <= 0 {
		return nil, fmt.Errorf("not a day of readers and writers: family %q, %d kinds of engine", b.Family, len(b.Fam.Engines))
	}
	full := b.Length / 1e6
	if length <= 0 {
		length = full
	}
	squeeze := length / full
	tier := b.Tiers[0]
	s := &Script{Name: b.Site, Seed: b.Noise % 1_000_000, LengthSeconds: length, Nodes: max(1, len(b.Balancers)), Zones: zones(&b),
		Load:    Load{SessionsPerSecond: rate, Shape: shape(b.Traffic.Shape)},
		Clients: Clients{Retries: b.Clients.Retries, Backoff: b.Clients.BackoffUS / 1e6, FailureDetectionDelay: b.Front / 1e6, AttemptShare: b.Clients.TryShare},
		List:    List{Delay: b.Discovery.Notice / 1e6 * squeeze},
		Rules: Rules{AnswerSlack: 0.05, DrainGrace: b.Grace / 1e6, OverloadMultiple: b.Multiple, SlowStartWindow: b.FallFor / 1e6,
			StateReleaseLimit: b.Fam.Release / 1e6, SlowStartShare: tier.ColdFrom, SlowStartSeconds: tier.ColdFor / 1e6},
		Limits: Limits{MaxAttempts: b.Allow.MaxAttempts, LocalRead: b.Fam.Reads}}
	for i, k := range tier.Kinds {
		e := b.Fam.Engines[min(i, len(b.Fam.Engines)-1)]
		s.Kinds = append(s.Kinds, Kind{Name: k.Name, Role: map[string]string{"read": "prefill", "write": "decode"}[role(&b, i)],
			Slots: e.Slots, Queue: e.Queue, MemoryTokens: e.Memory, PrefillTokensPerSecond: e.ReadPerS, StepMS: e.StepMS, PerSeqMS: e.PerSeq,
			TransferTokensPerSecond: b.Fam.Near, SlowStartShare: k.ColdFrom, SlowStartSeconds: k.Cold / 1e6, ReportMS: tier.Report / 1e3})
		if s.Kinds[i].Role == "" {
			s.Kinds[i].Role = "mixed"
		}
	}
	var ids []string
	counts := map[string]int{}
	for _, v := range b.Servers {
		if v.Kind < 0 || v.Kind >= len(s.Kinds) {
			return nil, fmt.Errorf("a server is of kind %d of %d", v.Kind, len(s.Kinds))
		}
		g := Group{Kind: s.Kinds[v.Kind].Name, Count: 1, Cell: fmt.Sprint("c", v.Cell), Speed: v.Speed}
		if v.Zone < len(s.Zones) {
			g.Zone = s.Zones[v.Zone]
		}
		s.Engines = append(s.Engines, g)
		base := g.Kind + "-" + g.Cell
		counts[base]++
		ids = append(ids, fmt.Sprintf("%s-%d", base, counts[base]))
	}
	s.classes(&b)
	for _, t := range b.Troubles {
		x := Fault{Kind: t.Kind, At: t.At / 1e6 * squeeze, Len: t.Len / 1e6 * squeeze, Size: t.Size, Extra: t.Extra, Part: t.Part}
		for _, i := range t.On {
			if i >= 0 && i < len(ids) {
				x.Engines = append(x.Engines, ids[i])
			}
		}
		x.fit(&b, t.Which, s)
		s.Faults = append(s.Faults, x)
	}
	s.defaults()
	return s, s.Check()
}

func role(b *benchDay, i int) string {
	if i < len(b.Fam.Roles) {
		return b.Fam.Roles[i]
	}
	return "both"
}

func zones(b *benchDay) []string {
	if len(b.Zones) < 2 {
		return nil
	}
	return b.Zones
}

// shape thins the bench's curve of load to a score of points, and holds it to shares of the day.
func shape(xs [][2]float64) [][2]float64 {
	if len(xs) == 0 {
		return nil
	}
	end, sum := xs[len(xs)-1][0], 0.0
	for _, x := range xs {
		sum += x[1]
	}
	if end <= 0 || sum <= 0 {
		return nil
	}
	step := max(1, len(xs)/20)
	var out [][2]float64
	for i := 0; i < len(xs); i += step {
		out = append(out, [2]float64{xs[i][0] / end, xs[i][1] / (sum / float64(len(xs)))})
	}
	return out
}

func (s *Script) classes(b *benchDay) {
	effects := map[string]string{"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
	for i, c := range b.Classes {
		t := b.Fam.Talks[min(i, len(b.Fam.Talks)-1)]
		s.Classes = append(s.Classes, Class{Name: c.Name, Effect: effects[c.Effect], Group: c.Group, KeyTTL: c.Window / 1e6,
			Share: c.Share, LatencyObjective: c.Aim / 1e6, LatencyObjectivePerK: t.AimPerK / 1e3, Patience: c.Deadline / 1e6, PatiencePerK: 2 * t.AimPerK / 1e3,
			TokenLatencyObjective: t.TokenMS / 1e3, MaxTokens: t.MaxOut, NewTokens: t.NewTokens, NewSigma: t.NewSigma,
			AnswerTokens: t.OutTokens, AnswerSigma: t.OutSigma, Prefixes: t.Prefixes, PrefixShare: t.PrefixShare,
			PrefixTokens: int(t.PrefixTokens), Turns: t.Turns, Think: t.Think})
	}
}

// fit turns the figures of a trouble into those of its counterpart.
func (t *Fault) fit(b *benchDay, which int, s *Script) {
	if t.Part == 0 && len(t.Engines) == 0 {
		t.Part = 0.2
	}
	switch t.Kind {
	case "heavy_tail":
		if which >= 0 && which < len(b.Classes) {
			t.Class = b.Classes[which].Name
		}
	case "zone_cut", "zone_loss":
		if which >= 0 && which < len(s.Zones) {
			t.Zone = s.Zones[which]
		}
	case "discovery_stale":
		if t.Size > 1000 {
			t.Size /= 1e6
		}
	case "balancer_roll":
		t.Part, t.Size = 1, math.Max(0.05, math.Min(1, t.Size))
		if t.Extra > 1000 {
			t.Extra /= 1e6
		}
	case "handshake_slow", "pauses":
		if t.Size > 1000 {
			t.Size /= 1e3
		}
	}
	if !slices.Contains(FaultKinds(), t.Kind) { // named by the bench alone: it is left to check, which says so
		return
	}
	t.Len = math.Min(t.Len, s.LengthSeconds-t.At)
}
