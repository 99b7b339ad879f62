package node_test

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Settings with missing, zero or odd values give a node that answers each request in time, or a clear error at the start.
func TestRelayOddSettings(t *testing.T) {
	for name, edit := range map[string][2]string{
		"no attempts":           {`"max_attempts":4`, `"max_attempts":0`},
		"negative attempts":     {`"max_attempts":4`, `"max_attempts":-1`},
		"one attempt":           {`"max_attempts":4`, `"max_attempts":1`},
		"no time to connect":    {`"connect_timeout_s":0.25`, `"connect_timeout_s":0`},
		"no idle time":          {`"keepalive_s":30`, `"keepalive_s":0`},
		"a moment of idle time": {`"keepalive_s":30`, `"keepalive_s":0.001`},
		"no grace":              {`"drain_grace_s":0.25`, `"drain_grace_s":0`},
		"no time to release":    {`"let_go_by_s":1`, `"let_go_by_s":0`},
		"no tick":               {`"tick_s":0.002`, `"tick_s":0`},
		"negative tick":         {`"tick_s":0.002`, `"tick_s":-1`},
		"no window":             {`"tip_after_s":1.5`, `"tip_after_s":0`},
		"no cold share":         {`"cold_share":0.25`, `"cold_share":0`},
		"no nodes":              {`"balancers":1`, `"balancers":0`},
		"a rank beyond":         {`"rank":0`, `"rank":7`},
		"no classes":            {`"classes":[`, `"classes":[],"was":[`},
		"no kinds":              {`"machine_types":["read","write","both"]`, `"machine_types":[]`},
		"no tenants":            {`"accounts":[`, `"accounts":[],"were":[`},
		"no deadline":           {`"hard_limit_s":4`, `"hard_limit_s":0`},
		"a token in no time":    {`"token_aim_s":[0.06,0.08]`, `"token_aim_s":[0,0]`},
		"no token aims":         {`"token_aim_s":[0.06,0.08]`, `"token_aim_s":[]`},
		"no reports":            {`"how":"inline"`, `"how":"off"`},
		"unknown effect":        {`"effect":"once"`, `"effect":"twice"`},
		"asked for":             {`"registry_mode":"pushed"`, `"registry_mode":"on_request"`},
		"asked for, no period":  {`"ask_every_s":10`, `"ask_every_s":0`},
		"no memory told":        {`"tokens_by_kind":[200000,150000,200000]`, `"tokens_by_kind":[]`},
	} {
		t.Run(name, func(t *testing.T) {
			settings := strings.Replace(platform.SettingsJSON, edit[0], edit[1], 1)
			if settings == platform.SettingsJSON {
				t.Fatalf("%q is not in the settings", edit[0])
			}
			p := platform.New("n0", &record.Log{})
			d := p.StartDiscovery(p.StartEngine("r0", "read"), p.StartEngine("w0", "write"), p.StartEngine("m0", "both"))
			defer func() { d.Close(); p.Stop() }()
			file := t.TempDir() + "/config.json"
			if err := platform.WriteConfig(file, platform.ConfigText(settings, "127.0.0.1:0", d.Address(), d.Snapshot(), 32, 256)); err != nil {
				t.Fatal(err)
			}
			cfg, err := relay.Load(func(string) string { return file })
			if err == nil {
				var n *node.RelayNode
				n, err = node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
				if err == nil {
					defer n.Stop()
					a := platform.Request{Operation: "a", Class: "chat", Tenant: "branch", ResponseTokens: 4, Timeout: time.Second}
					if r := p.Send(n.Addr().String(), a); r.Outcome == record.Cut || r.Duration > 2*time.Second {
						t.Errorf("got %+v, want an answer in time", r)
					}
					return
				}
			}
			if text := err.Error(); len(text) < 10 || strings.Contains(text, "runtime error") {
				t.Errorf("got the error %q, want one that names the field", text)
			} else {
				t.Log(text)
			}
		})
	}
}
