package main

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
)

func smokeInput(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/smoke.txt")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestSmokeInputIsServedAndEachBatchAnswered(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(smokeInput(t)), &out, io.Discard); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"OK\tserial=1\n", "engine=10.0.0.1:1\tcap_s=", "engine=10.0.0.2:1\n", "OK\tserial=3\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("output lacks %q:\n%s", want, got)
		}
	}
}

func TestBatchWithKillIsAnswered(t *testing.T) {
	var out bytes.Buffer
	in := smokeInput(t) + "SYNC\tsim_time_s=2\tserial=4\nTO\tnode_id=0\nKILL\nGO\n"
	if err := run(strings.NewReader(in), &out, io.Discard); err != nil || !strings.HasSuffix(out.String(), "OK\tserial=4\n") {
		t.Fatalf("got error %v and output that should end with the reply to batch 4:\n%s", err, out.String())
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader("nonsense\n"), &out, io.Discard); err == nil || out.Len() > 0 {
		t.Fatalf("got error %v and output %q, want an error and no output", err, out.String())
	}
}
