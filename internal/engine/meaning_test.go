package engine

import (
	"testing"

	"dillroute/internal/decide/ending"
)

// What answers that are no success mean, by status and code.
func TestMeaningsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		status int
		code   string
		want   ending.Meaning
	}{
		{429, "", ending.Turned}, {503, "", ending.Turned}, {409, codeStateGone, ending.NoState},
		{503, codeNoState, ending.NoState}, {500, "", ending.Error}, {502, "", ending.Error}, {204, "", ending.Error},
		{409, "", ending.Error}, {400, "", ending.Judged}, {422, "invalid", ending.Judged}, {404, "", ending.Judged},
	} {
		if got := meaning(c.status, c.code); got != c.want {
			t.Errorf("%d %q: %v, wanted %v", c.status, c.code, got, c.want)
		}
	}
}
