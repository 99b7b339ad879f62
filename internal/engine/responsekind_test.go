package engine

import (
	"testing"

	"dillroute/internal/decide/outcome"
)

func TestResponseKindOfStatusAndCode(t *testing.T) {
	for _, c := range []struct {
		status int
		code   string
		want   outcome.ResponseKind
	}{
		{429, "", outcome.EngineRejected}, {503, "", outcome.EngineRejected}, {409, codeStateNotFound, outcome.StateMissing},
		{503, codeStateRequired, outcome.StateMissing}, {500, "", outcome.EngineError},
		{502, "", outcome.EngineError}, {204, "", outcome.EngineError},
		{409, "", outcome.EngineError}, {400, "", outcome.InvalidRequest}, {422, "invalid", outcome.InvalidRequest},
		{404, "", outcome.InvalidRequest},
	} {
		if got := responseKind(c.status, c.code); got != c.want {
			t.Errorf("%d %q: got %v, want %v", c.status, c.code, got, c.want)
		}
	}
}
