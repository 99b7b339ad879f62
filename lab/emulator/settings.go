package emulator

// Roles of an engine.
const (
	rolePrefill = "prefill"
	roleDecode  = "decode"
	roleMixed   = "mixed"
)

// Settings are those of one engine. api/engine.schema.json describes their JSON form.
type Settings struct {
	ID                      string  `json:"id"`
	Listen                  string  `json:"listen"` // host:port; port 0 draws one at the first start
	Role                    string  `json:"role"`   // prefill, decode or mixed
	Slots                   int     `json:"slots"`  // requests that run at once
	QueueLimit              int     `json:"queue"`  // requests that wait for a slot
	MemoryTokens            int     `json:"memory_tokens"`
	PrefillTokensPerSecond  float64 `json:"read_per_s"`
	DecodeStepMS            float64 `json:"step_ms"`     // time of a decode step without other requests
	DecodeStepPerSequenceMS float64 `json:"per_seq_ms"`  // time that each running request adds to a decode step
	TransferTokensPerSecond float64 `json:"move_per_s"`  // speed at which KV states leave the engine
	SlowStartShare          float64 `json:"cold_share"`  // share of its speed right after a cold start
	SlowStartSeconds        float64 `json:"cold_s"`      // time in which it reaches its full speed; 0 = at once
	LocalPrefill            bool    `json:"local_read"`  // a decode engine reads prompts itself where there is no KV state
	StateTTLSeconds         float64 `json:"state_ttl_s"` // after this time an unclaimed KV state is dropped
	LoadReportIntervalMS    float64 `json:"report_ms"`   // the reported load is refreshed this often
	ReleaseUnsupported      bool    `json:"no_release"`  // the release call answers 404
	Seed                    uint64  `json:"seed"`
}

// Defaults of settings that are not given.
const (
	defaultListen                  = "127.0.0.1:0"
	defaultSlots                   = 32
	defaultQueueLimit              = 32
	defaultMemoryTokens            = 200_000
	defaultPrefillTokensPerSecond  = 20_000
	defaultDecodeStepMS            = 8
	defaultDecodeStepPerSequenceMS = 0.1
	defaultTransferTokensPerSecond = 200_000
	defaultSlowStartShare          = 0.3
	defaultStateTTLSeconds         = 480
	defaultLoadReportIntervalMS    = 100
)

// WithDefaults returns the settings with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Listen, defaultListen)
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.QueueLimit, defaultQueueLimit)
	setDefault(&s.MemoryTokens, defaultMemoryTokens)
	setDefault(&s.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setDefault(&s.DecodeStepMS, defaultDecodeStepMS)
	setDefault(&s.DecodeStepPerSequenceMS, defaultDecodeStepPerSequenceMS)
	setDefault(&s.TransferTokensPerSecond, defaultTransferTokensPerSecond)
	setDefault(&s.SlowStartShare, defaultSlowStartShare)
	setDefault(&s.StateTTLSeconds, defaultStateTTLSeconds)
	setDefault(&s.LoadReportIntervalMS, defaultLoadReportIntervalMS)
	return s
}

func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}
