package benchwire

import (
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"dillroute/scheduler"
)

// launch returns the first batch of the adapter's smoke input: a launch with its settings, and two engines.
func launch(t testing.TB) string {
	t.Helper()
	b, err := os.ReadFile("../../cmd/adapter/testdata/smoke.txt")
	if err != nil {
		t.Fatal(err)
	}
	first, _, _ := strings.Cut(string(b), "GO\n")
	return first + "GO\n"
}

func decode(s string) (items []Item, err error) {
	d := NewDecoder(strings.NewReader(s))
	for {
		b, err := d.Next()
		if err == io.EOF {
			return items, nil
		}
		if err != nil {
			return items, err
		}
		items = append(items, b.Items...)
	}
}

func batch(lines ...string) string {
	return "SYNC\tsim_time_s=2.5\tserial=9\nTO\tnode_id=0\n" + strings.Join(lines, "\n") + "\nGO\n"
}

func TestLaunchAndEndpointUpdate(t *testing.T) {
	items, err := decode(launch(t))
	if err != nil || len(items) != 2 {
		t.Fatalf("got error %v and %d items, want 2 items", err, len(items))
	}
	c := items[0].Launch.Config
	if c.Rules.StateReleaseLimit != 1 || c.Classes[0].OutputTokenObjective != 0.06 || c.Classes[0].ObjectivePer1KTokens != 0.04 ||
		c.Kinds[1].Role != scheduler.Decode || c.ReportStyle != scheduler.ReportInline || items[0].Launch.Seed != 7 {
		t.Errorf("launch has unexpected settings: %+v", c)
	}
	m := items[1].Event.(scheduler.EndpointUpdate)
	want := scheduler.Engine{ID: "10.0.0.2:1", Kind: 1, Weight: 1}
	if m.Form != scheduler.UpdateStale || len(m.Engines) != 2 || m.Engines[1] != want {
		t.Errorf("unexpected endpoint update: %+v", m)
	}
}

func TestEveryEventIsDecoded(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields []string // of the line after its name
		want   scheduler.Event
	}{
		{name: "WAKEUP", fields: []string{"ctx=77"}, want: scheduler.TimerFired{Token: 77}},
		{name: "GONE", fields: []string{"op_id=a"}, want: scheduler.ClientDisconnected{ID: "a"}},
		{
			name: "DEMAND",
			fields: []string{"op_id=a", "tier_class=0", "project=0", "session_id=s", "time_left_s=0.24", "work_s=0.5", "system_prompt=p",
				"prompt_tokens=18", "prefix_tokens=12", "output_cap=25", "is_retry=1", "returned=1", "new=x"},
			want: scheduler.Request{ID: "a", Session: "s", Prefix: "p", ClientTimeLeft: 0.24, DurationHint: 0.5, PromptTokens: 18,
				PrefixTokens: 12, MaxOutputTokens: 25, Retry: true, Returned: true},
		},
		{
			name:   "FLOWING",
			fields: []string{"op_id=a", "n=1", "engine=e", "spent_s=0.5"},
			want:   scheduler.FirstToken{ID: "a", Attempt: 1, Engine: "e", Spent: 0.5},
		},
		{
			name:   "HELD_NOTE",
			fields: []string{"op_id=a", "sort=1", "n=2", "engine=e", "amount=0"},
			want:   scheduler.ReserveResult{ID: "a", Attempt: 2, Engine: "e", OK: true},
		},
		{
			name:   "CHECKED",
			fields: []string{"disposition=no_answer", "spent_s=1", "engine=e"},
			want:   scheduler.ProbeResult{Engine: "e", Status: scheduler.TimedOut, Spent: 1},
		},
		{
			name:   "WHISPER",
			fields: []string{"neighbour=2", "payload=6869"},
			want:   scheduler.PeerMessage{From: 2, Data: []byte("hi")},
		},
		{
			name:   "PEERS_KNOWN",
			fields: []string{"form=lost", "rev=1"},
			want:   scheduler.EndpointUpdate{Form: scheduler.UpdateFailed},
		},
		{
			name: "CLOSED_ATTEMPT",
			fields: []string{"op_id=a", "disposition=parsed", "info=7", "n=1", "engine=e", "spent_s=0.1", "finished=1",
				"report=cpu:0.6,waiting:3,x0:0.4,x1:2,active:5,avg_ms:9,odd:1"},
			want: scheduler.Outcome{ID: "a", Attempt: 1, Engine: "e", Status: scheduler.Prefilled, Info: 7, Spent: 0.1, RequestEnded: true,
				Report: &scheduler.LoadReport{Utilization: 0.6, Waiting: 3, MemoryShare: 0.4, TokensWaiting: 2000, Active: 5,
					LatencyMS: 9, Has: 63}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			items, err := decode(launch(t) + batch(c.name+"\t"+strings.Join(c.fields, "\t")))
			if err != nil || len(items) != 3 {
				t.Fatalf("got %d items and error %v, want 3 items", len(items), err)
			}
			if got := items[2].Event; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v\nwant %+v", got, c.want)
			}
		})
	}
}

func TestKillIsDecoded(t *testing.T) {
	items, err := decode(launch(t) + batch("KILL"))
	if err != nil || len(items) != 3 || !items[2].Kill {
		t.Errorf("got items %+v and error %v, want a kill", items, err)
	}
}

func TestUnknownMessageIsIgnored(t *testing.T) {
	if items, err := decode(launch(t) + batch("NOVELTY\ta=1")); err != nil || len(items) != 2 {
		t.Errorf("got %d items and error %v, want the 2 of the launch", len(items), err)
	}
}

func TestEveryActionIsEncoded(t *testing.T) {
	for want, a := range map[string]scheduler.Action{
		"DELIVER\top_id=a\tengine=e":              scheduler.Send{ID: "a", Engine: "e"},
		"DELIVER\top_id=a\tengine=e\tcap_s=0.08":  scheduler.Send{ID: "a", Engine: "e", Timeout: 0.08},
		"ABORT_ATTEMPT\top_id=a\tn=2":             scheduler.Cancel{ID: "a", Attempt: 2},
		"RESERVE\top_id=a\tengine=e":              scheduler.Reserve{ID: "a", Engine: "e"},
		"UNHOLD\top_id=a":                         scheduler.Release{ID: "a"},
		"REFUSE\top_id=a":                         scheduler.Reject{ID: "a"},
		"REFUSE\top_id=a\tbackoff_s=0.5":          scheduler.Reject{ID: "a", RetryAfter: 0.5},
		"FAIL\top_id=a":                           scheduler.Fail{ID: "a"},
		"SCHEDULE\ttime_s=8.91225\tctx=7":         scheduler.SetTimer{At: 8.91225, Token: 7},
		"HEALTH_CHECK\tengine=e":                  scheduler.Probe{Engine: "e"},
		"STREAM_CHANGES\tenable=1":                scheduler.WatchEndpoints{On: true},
		"REFRESH":                                 scheduler.FetchEndpoints{},
		"SAY_LOG\tbody_text=two lines are joined": scheduler.Log{Text: "two lines\nare joined"},
	} {
		if got, err := formatAction(a); err != nil || got != want {
			t.Errorf("got %q and error %v, want %q", got, err, want)
		}
	}
}

func TestErrorOfMalformedInputNamesLineAndField(t *testing.T) {
	for in, want := range map[string]string{
		batch("DEMAND\top_id=a\ttier_class=5\ttime_left_s=1"):                    "tier_class",
		batch("DEMAND\top_id=a\ttier_class=0\tproject=3\ttime_left_s=1"):         "project",
		batch("DEMAND\top_id=a"):                                                 "time_left_s",
		batch("DEMAND\ttime_left_s=1"):                                           "op_id",
		batch("DEMAND\top_id=a\ttime_left_s=soon"):                               "soon",
		batch("DEMAND\top_id=a\ttime_left_s=NaN"):                                "time_left_s",
		batch("DEMAND\top_id=a\ttime_left_s=1\tprompt_tokens=-3"):                "prompt_tokens",
		batch("CLOSED_ATTEMPT\top_id=a\tdisposition=odd\tengine=e"):              "disposition",
		batch("CLOSED_ATTEMPT\top_id=a\tdisposition=served\tengine=e\treport=x"): "report",
		batch("GONE\tid"): "no '='",
		batch("PEERS_KNOWN\tform=incr\tmembers=1", "ITEM\tengine=e\tstate=ready\tgeneration_hw=9"): "generation_hw",
		batch("PEERS_KNOWN\tform=incr\tmembers=2", "ITEM\tengine=e\tstate=ready"):                  "ITEM",
		"SYNC\tsim_time_s=1\tserial=1\nTO\tnode_id=0\nWAKEUP":                                      "ends within",
		"SYNC\tsim_time_s=1\tserial=1\nTO\tnode_id=4\nGONE\top_id=a\nGO\n":                         "not launched",
		"HELLO\n":          "SYNC",
		"SYNC\tserial=1\n": "sim_time_s",
		"SYNC\tsim_time_s=1\tserial=1\nTO\tnode_id=1\nLAUNCH\trandom_seed=1\tfacts={\nGO\n": "facts",
	} {
		_, err := decode(launch(t) + in)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: got error %v, want one with the line and %q", clip(in), err, want)
		}
	}
}

func TestLineOfSeveralMegabytesIsDecoded(t *testing.T) {
	long := strings.Repeat("x", 4<<20)
	items, err := decode(launch(t) + batch("GONE\top_id="+long))
	if err != nil || items[2].Event.(scheduler.ClientDisconnected).ID != long {
		t.Fatalf("line of 4 MiB: got error %v or an incomplete ID", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(launch(f) + batch("WAKEUP\tctx=1"))
	f.Add(batch("DEMAND\top_id=a"))
	f.Fuzz(func(t *testing.T, s string) { decode(s) }) // errors are allowed, panics are not
}
