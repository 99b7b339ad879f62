package engine

import (
	"testing"

	"dillroute/internal/decide/outcome"
)

// What answers that are no success mean, by status and code.
func TestMeaningsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		status int
		code   string
		want   outcome.Meaning
	}{
		{429, "", outcome.Turned}, {503, "", outcome.Turned}, {409, codeStateGone, outcome.NoState},
		{503, codeNoState, outcome.NoState}, {500, "", outcome.Error}, {502, "", outcome.Error}, {204, "", outcome.Error},
		{409, "", outcome.Error}, {400, "", outcome.Judged}, {422, "invalid", outcome.Judged}, {404, "", outcome.Judged},
	} {
		if got := meaning(c.status, c.code); got != c.want {
			t.Errorf("%d %q: %v, wanted %v", c.status, c.code, got, c.want)
		}
	}
}
