package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/lab/emulator"
	"dillroute/lab/fleet"

	"github.com/spf13/cobra"
)

const demoKey = "demo-key"

func demoCommand() *cobra.Command {
	var listen string
	var once bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet of emulated engines and a node, all on loopback",
		Long: `Run two prefill, two decode and one mixed emulated engine in two cells, with a node in front of them, until SIGINT. The
responses are synthetic. Models: roster-chat, idempotent; roster-commit, which must never run twice.`,
		Example: "  dillroute demo\n  dillroute demo --listen 127.0.0.1:8080\n  dillroute demo --once",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return withExitCode(ExitRun, demo(ctx, listen, once, cmd.OutOrStdout(), cmd.ErrOrStderr()))
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "listen address of the node; port 0 picks a free port")
	c.Flags().BoolVar(&once, "once", false, "send one streaming request, print the response and exit")
	return c
}

// demoFleet returns the engines of two cells: a prefill and a decode engine in each, and a mixed engine in the first.
func demoFleet() []fleet.Member {
	var ms []fleet.Member
	for i, e := range []struct{ role, cell string }{
		{"prefill", "a"}, {"decode", "a"}, {"mixed", "a"}, {"prefill", "b"}, {"decode", "b"}} {
		ms = append(ms, fleet.Member{Kind: e.role, Cell: e.cell, Settings: emulator.Settings{
			ID: e.role + "-" + e.cell, Role: e.role, LocalPrefill: true, DecodeStepMS: 30, Seed: uint64(i)}})
	}
	return ms
}

func demoConfig(listen, list string) (*config.Config, error) {
	text, err := json.Marshal(map[string]any{
		"listen": listen, "node": map[string]any{"name": "demo"},
		"kinds": []any{map[string]any{"name": "prefill", "role": "prefill", "memory_tokens": 200000},
			map[string]any{"name": "decode", "role": "decode", "memory_tokens": 200000},
			map[string]any{"name": "mixed", "role": "mixed", "memory_tokens": 200000}},
		"classes": []any{
			map[string]any{"name": "chat", "effect": "repeatable", "aim_s": 1, "aim_per_1k_prompt_s": 0.04, "patience_s": 5,
				"patience_per_1k_prompt_s": 0.08, "token_aim_s": 0.06},
			map[string]any{"name": "commit", "effect": "once", "aim_s": 3, "aim_per_1k_prompt_s": 0.12, "patience_s": 15,
				"patience_per_1k_prompt_s": 0.24, "token_aim_s": 0.08, "worth": 2}},
		"models": []any{map[string]any{"name": "roster-chat", "class": "chat"},
			map[string]any{"name": "roster-commit", "class": "commit"}},
		"tenants": []any{map[string]any{"name": "demo", "keys": []string{demoKey}}},
		"engines": map[string]any{"file": list}, "log": map[string]any{"format": "text", "level": "warn"},
	})
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

func demo(ctx context.Context, listen string, once bool, out, errOut io.Writer) error {
	dir, err := os.MkdirTemp("", "dillroute-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := fleet.New(demoFleet(), nil)
	if err := f.Start(); err != nil {
		return err
	}
	defer f.Stop()
	list := filepath.Join(dir, "engines.json")
	if err := f.WriteListFile(f.List(), "demo", list); err != nil {
		return err
	}
	cfg, err := demoConfig(listen, list)
	if err != nil {
		return err
	}
	n, err := node.StartChat(cfg, node.WithLogger(slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: slog.LevelWarn}))))
	if err != nil {
		return err
	}
	defer n.Shutdown(2 * time.Second)
	url := "http://" + n.Addr().String()
	if once {
		return streamOnce(ctx, url, out)
	}
	fmt.Fprintf(out, "listening on %s\n", url)
	fmt.Fprintf(out, "key: %s\nmodels: roster-chat (safe to repeat), roster-commit (must never run twice)\n", demoKey)
	for _, m := range f.Members() {
		fmt.Fprintf(out, "engine %-10s cell %s on %s\n", m.ID, m.Cell, f.Engine(m.ID).Address())
	}
	fmt.Fprintf(out, "\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n",
		url, demoKey)
	fmt.Fprintln(out, `  -d '{"model":"roster-chat","stream":true,"messages":[{"role":"user","content":"Who can cover a sick call?"}]}'`)
	fmt.Fprintf(out, "\ninject a fault: curl %s/lab/fault -d '{\"cut_after\":3}'   (clear it with '{}')\n",
		"http://"+f.Engine("decode-a").Address())
	<-ctx.Done()
	return nil
}

// streamOnce sends one streaming request and prints the response as it arrives.
func streamOnce(ctx context.Context, url string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	body := []byte(`{"model":"roster-chat","stream":true,"messages":[{"role":"system","content":"You help with rosters."},` +
		`{"role":"user","content":"Who can cover a sick call on Sunday evening?"}]}`)
	q, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+demoKey)
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return fmt.Errorf("response status %s: %s", resp.Status, text)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			fmt.Fprintln(out)
			return nil
		}
		var chunk struct {
			Error   *struct{ Message string } `json:"error"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			return fmt.Errorf("the stream ended with an error: %s", chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			fmt.Fprint(out, choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return fmt.Errorf("the stream ended without [DONE]")
}
