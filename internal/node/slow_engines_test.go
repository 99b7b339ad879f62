package node_test

import (
	"strings"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Guards against streams that are cut off although their engine still writes them: a pause that is shorter than the 5 s for which a client
// waits, and an event that arrives in pieces for longer than that, are not silence.
func TestRelayForwardsSlowStreams(t *testing.T) {
	for _, fault := range []platform.Fault{platform.PauseMidStream, platform.SlowEvent} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			settings := strings.Replace(platform.SettingsJSON, `"resume":true`, `"resume":false`, 1)
			harness, engines := newRelayHarnessWith(t, settings, 64, 256, "r0 read", "w0 write")
			engines["w0"].QueueFaults(fault)
			request := harness.newRequest("commit")
			result := harness.send(request)
			if result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation, request.ResponseTokens) {
				t.Errorf("got %+v, want it served unchanged", result)
			}
			harness.requireNoViolations()
		})
	}
}

// Guards against final responses that come after their time, because an engine reads a large request slowly.
func TestRelayAnswersInTimeIfAnEngineReadsARequestSlowly(t *testing.T) {
	const slack = 300 * time.Millisecond
	for _, slow := range []string{"r0", "w0"} {
		for _, class := range []string{"chat", "commit"} {
			t.Run(slow+" "+class, func(t *testing.T) {
				t.Parallel()
				harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
				engines[slow].SetReadsSlowly(true)
				request := harness.newRequest(class)
				request.Operation += strings.Repeat("x", 240<<10)
				request.Timeout = 1500 * time.Millisecond
				result := harness.send(request)
				if result.Outcome == record.Served || result.Duration > request.Timeout+slack {
					t.Errorf("got %s after %v, want a final response within %v", result.Outcome, result.Duration, request.Timeout)
				}
			})
		}
	}
}
