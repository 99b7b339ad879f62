package settings

// document mirrors the settings object, as far as it is used. Its fields bear the names of the wire.
type document struct {
	Balancers int             `json:"balancers"`
	Rank      int             `json:"rank"`
	Zone      int             `json:"zone"`
	Classes   []documentClass `json:"classes"`
	Accounts  []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"accounts"`
	Localities   []string `json:"localities"`
	MachineTypes []string `json:"machine_types"`
	RegistryMode string   `json:"registry_mode"`
	Tick         float64  `json:"tick_s"`
	Family       struct {
		Ahead             bool      `json:"ahead"`
		Resume            bool      `json:"resume"`
		LocalRead         bool      `json:"local_read"`
		AimPerK           []float64 `json:"aim_us_per_1000_prompt_tokens"`
		TokenAim          []float64 `json:"token_aim_s"`
		StateReleaseLimit float64   `json:"let_go_by_s"`
		Stage             []string  `json:"stage_of_kind"`
		Tokens            []float64 `json:"tokens_by_kind"`
		Transfer          float64   `json:"transfer_price"`
	} `json:"family_info"`
	Guarantees struct {
		AnswerSlack    float64 `json:"answer_slack_s"`
		AskEvery       float64 `json:"ask_every_s"`
		SlowStart      float64 `json:"cold_s"`
		SlowStartShare float64 `json:"cold_share"`
		DrainGrace     float64 `json:"drain_grace_s"`
		FallMultiple   float64 `json:"fall_multiple"`
		TipAfter       float64 `json:"tip_after_s"`
	} `json:"guarantees"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		Connect       float64 `json:"connect_timeout_s"`
		KeepAlive     float64 `json:"keepalive_s"`
		MaxOpen       int     `json:"max_open"`
		MaxAttempts   int     `json:"max_attempts"`
		MayProbe      bool    `json:"may_probe"`
		ParallelTries bool    `json:"parallel_tries"`
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after_s"`
	} `json:"limits"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Tariffs struct {
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
		CrossZone float64 `json:"cross_zone"`
		LateFail  float64 `json:"late_fail"`
	} `json:"tariffs"`
}

// documentClass is one class of the settings object.
type documentClass struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	KeyTTL     float64 `json:"key_ttl_s"`
	Target     float64 `json:"target_s"`
	AimStretch float64 `json:"aim_stretch"`
	HardLimit  float64 `json:"hard_limit_s"`
	Worth      float64 `json:"worth"`
	LateValue  float64 `json:"late_value"`
}
