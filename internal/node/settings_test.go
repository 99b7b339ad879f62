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

// With missing, zero or unusual values in its settings, a node must either respond to requests within 2 s or fail to start with a clear
// error.
func TestRelayUnusualSettings(t *testing.T) {
	for name, edit := range map[string][2]string{
		"zero attempts":          {`"max_attempts":4`, `"max_attempts":0`},
		"negative attempts":      {`"max_attempts":4`, `"max_attempts":-1`},
		"one attempt":            {`"max_attempts":4`, `"max_attempts":1`},
		"zero connect timeout":   {`"connect_timeout_s":0.25`, `"connect_timeout_s":0`},
		"zero idle timeout":      {`"keepalive_s":30`, `"keepalive_s":0`},
		"1 ms idle timeout":      {`"keepalive_s":30`, `"keepalive_s":0.001`},
		"zero drain grace":       {`"drain_grace_s":0.25`, `"drain_grace_s":0`},
		"zero release limit":     {`"let_go_by_s":1`, `"let_go_by_s":0`},
		"zero tick":              {`"tick_s":0.002`, `"tick_s":0`},
		"negative tick":          {`"tick_s":0.002`, `"tick_s":-1`},
		"zero slow start window": {`"tip_after_s":1.5`, `"tip_after_s":0`},
		"zero slow start share":  {`"cold_share":0.25`, `"cold_share":0`},
		"zero nodes":             {`"balancers":1`, `"balancers":0`},
		"rank out of range":      {`"rank":0`, `"rank":7`},
		"no classes":             {`"classes":[`, `"classes":[],"was":[`},
		"no kinds":               {`"machine_types":["read","write","both"]`, `"machine_types":[]`},
		"no tenants":             {`"accounts":[`, `"accounts":[],"were":[`},
		"zero client timeout":    {`"hard_limit_s":4`, `"hard_limit_s":0`},
		"zero token objectives":  {`"token_aim_s":[0.06,0.08]`, `"token_aim_s":[0,0]`},
		"no token objectives":    {`"token_aim_s":[0.06,0.08]`, `"token_aim_s":[]`},
		"no load reports":        {`"how":"inline"`, `"how":"off"`},
		"unknown effect":         {`"effect":"once"`, `"effect":"twice"`},
		"endpoint list polled":   {`"registry_mode":"pushed"`, `"registry_mode":"on_request"`},
		"zero poll interval":     {`"ask_every_s":10`, `"ask_every_s":0`},
		"no memory sizes":        {`"tokens_by_kind":[200000,150000,200000]`, `"tokens_by_kind":[]`},
	} {
		t.Run(name, func(t *testing.T) {
			settings := strings.Replace(platform.SettingsJSON, edit[0], edit[1], 1)
			if settings == platform.SettingsJSON {
				t.Fatalf("%q is not in the settings", edit[0])
			}
			requireServedOrClearError(t, settings)
		})
	}
}

// requireServedOrClearError starts a node with the settings. It must respond to a request within 2 s, or fail to start with an error that
// says why.
func requireServedOrClearError(t *testing.T, settings string) {
	t.Helper()
	p := platform.New("n0", &record.Log{})
	d := p.StartDiscovery(p.StartEngine("r0", "read"), p.StartEngine("w0", "write"), p.StartEngine("m0", "both"))
	defer func() { d.Close(); p.Stop() }()
	file := t.TempDir() + "/config.json"
	if err := platform.WriteConfig(file, platform.ConfigText(settings, "127.0.0.1:0", d.Address(), d.Snapshot(), 32, 256)); err != nil {
		t.Fatal(err)
	}
	n, err := loadAndStart(file)
	if err != nil {
		if text := err.Error(); len(text) < 10 || strings.Contains(text, "runtime error") {
			t.Errorf("got the error %q, want one that names the field", text)
		}
		t.Log(err)
		return
	}
	defer n.Stop()
	request := platform.Request{Operation: "a", Class: "chat", Tenant: "branch", ResponseTokens: 4, Timeout: time.Second}
	if result := p.Send(n.Addr().String(), request); result.Outcome == record.ConnectionLost || result.Duration > 2*time.Second {
		t.Errorf("got %+v, want a response within 2s", result)
	}
}

// loadAndStart starts a node with a configuration file.
func loadAndStart(file string) (*node.RelayNode, error) {
	cfg, err := relay.Load(func(string) string { return file })
	if err != nil {
		return nil, err
	}
	return node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
}
