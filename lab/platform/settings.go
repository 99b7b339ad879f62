package platform

import (
	"encoding/json"
	"os"
)

// SettingsJSON is a settings object in the platform's format: two classes, one tenant, and three kinds of engines named after their roles.
const SettingsJSON = `{"accounts":[{"name":"branch","quota_per_s":100,"share":1}],"balancers":1,
"classes":[{"effect":"repeatable","group":"all","hard_limit_s":4,"key_ttl_s":5,"late_value":0.3,"name":"chat","streamed":true,
"target_s":1,"worth":1},
{"effect":"once","group":"all","hard_limit_s":4,"key_ttl_s":5,"late_value":0.3,"name":"commit","streamed":true,"target_s":2,"worth":2}],
"family":"twostage","family_info":{"ahead":false,"aim_us_per_1000_prompt_tokens":[40000,120000],"let_go_by_s":1,"local_read":false,
"resume":true,"stage_of_kind":["read","write","both"],"token_aim_s":[0.06,0.08],"tokens_by_kind":[200000,150000,200000],
"transfer_price":0.03},
"guarantees":{"answer_slack_s":0.008,"ask_every_s":10,"cold_s":14,"cold_share":0.25,"drain_grace_s":0.25,"fall_multiple":4,
"tip_after_s":1.5},
"limits":{"cancel":true,"connect_timeout_s":0.25,"keepalive_s":30,"max_attempts":4,"max_open":20000,"may_probe":false,
"parallel_tries":true,"retry_after":true,"max_retry_after_s":1},"localities":["z"],"machine_types":["read","write","both"],
"rank":0,"registry_mode":"pushed",
"report":{"fields":["cpu","waiting","x0"],"how":"inline"},"tariffs":{"waste":0.03},"tick_s":0.002,"zone":0}`

// ConfigText returns the text of a node's configuration file. known is the endpoint list that the node starts with; nil: none.
func ConfigText(settings, listen, discovery string, known []byte, memoryMB, sockets int) []byte {
	if known == nil {
		known = []byte("null")
	}
	text, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    listen,
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":     json.RawMessage(known),
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		panic(err) // the test passed settings or an endpoint list that are not JSON
	}
	return text
}

// WriteConfig replaces a configuration file atomically.
func WriteConfig(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
