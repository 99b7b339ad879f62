package discovery

import (
	"strings"
	"testing"

	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
)

func testParser(t *testing.T) *Parser {
	t.Helper()
	c, err := config.Parse([]byte(`{"listen":"127.0.0.1:0","node":{"name":"n"},"zones":["za","zb"],
 "kinds":[{"name":"p","role":"prefill"},{"name":"d","role":"decode"}],
 "classes":[{"name":"c","effect":"once","aim_s":1,"patience_s":5,"token_aim_s":0.06}],
 "models":[{"name":"m","class":"c"}],"tenants":[{"name":"t","keys":["long-enough"]}],"engines":{"file":"l.json"}}`))
	if err != nil {
		t.Fatal(err)
	}
	return &Parser{Config: c}
}

func TestListFileIsAcceptedCompleteOrRejected(t *testing.T) {
	p := testParser(t)
	l, err := p.ParseFile([]byte(`{"engines":[
 {"id":"b","address":"127.0.0.1:2","kind":"d","cell":"x","zone":"zb","state":"draining","weight":0},
 {"id":"a","address":"127.0.0.1:1","kind":"p","cell":"y","boot_time":7}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []endpoints.Endpoint{{ID: "b", Address: "127.0.0.1:2", Kind: 1, Role: 1, Zone: 1, State: endpoints.Draining},
		{ID: "a", Address: "127.0.0.1:1", Cell: 1, Weight: 1, BootTime: 7}}
	if len(l) != 2 || l[0] != want[0] || l[1] != want[1] {
		t.Fatalf("got unexpected endpoints %+v", l)
	}
	_, err = p.ParseFile([]byte(`{"engines":[{"id":"a","address":"h:1","kind":"q"},{"id":"a","address":"h:2","kind":"p","zone":"zz"}]}`))
	for _, w := range []string{`/engines/0/kind: no kind is named "q"`, `/engines/1/zone: "zz"`} {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("%s is not in %v", w, err)
		}
	}
	again, err := p.ParseFile([]byte(`{"engines":[{"id":"c","address":"h:1","kind":"p","cell":"y"},
 {"id":"d","address":"h:1","kind":"p","cell":"z"}]}`))
	if err != nil || again[0].Cell != 1 || again[1].Cell != 2 {
		t.Errorf("the cells' numbers changed: %+v, %v", again, err)
	}
}
