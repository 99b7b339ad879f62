// Package discovery brings the engine list from its source to the node.
package discovery

import (
	"fmt"

	"dillroute/api"
	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
)

// Entry is one engine of a list file; api/list.schema.json describes it.
type Entry struct {
	ID       string   `json:"id"`
	Address  string   `json:"address"`
	Kind     string   `json:"kind"`
	Cell     string   `json:"cell,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	State    string   `json:"state,omitempty"`
	Weight   *float64 `json:"weight,omitempty"`
	BootTime float64  `json:"boot_time,omitempty"`
}

// File is a list file.
type File struct {
	Engines []Entry `json:"engines"`
}

var schema = config.MustSchema(api.ListSchema)

// Parser turns lists into entries. Cells are numbered as they are first met, and keep their number.
type Parser struct {
	Config *config.Config
	cells  map[string]int
}

// ParseFile reads a whole list file. All that is wrong is told at once, and then nothing of it is taken.
func (p *Parser) ParseFile(text []byte) ([]endpoints.Entry, error) {
	var f File
	if err := schema.Decode(text, &f); err != nil {
		return nil, err
	}
	var ps config.Problems
	out := []endpoints.Entry{}
	for i, e := range f.Engines {
		n, bad := p.entry(e)
		for _, b := range bad {
			ps = append(ps, config.Problem{Pointer: fmt.Sprintf("/engines/%d%s", i, b.Pointer), Text: b.Text})
		}
		out = append(out, n)
	}
	if len(ps) > 0 {
		return nil, ps
	}
	for i, e := range f.Engines {
		out[i].Cell = p.cell(e.Cell)
	}
	return out, nil
}

// entry reads one engine; its cell is numbered by the caller, once the list is known to be good.
func (p *Parser) entry(e Entry) (endpoints.Entry, config.Problems) {
	var ps config.Problems
	kind, ok := p.Config.KindIndex(e.Kind)
	if !ok {
		ps = append(ps, config.Problem{Pointer: "/kind", Text: fmt.Sprintf("no kind is named %q", e.Kind)})
	}
	zone, ok := p.zone(e.Zone)
	if !ok {
		ps = append(ps, config.Problem{Pointer: "/zone", Text: fmt.Sprintf("%q is not one of the node's zones", e.Zone)})
	}
	n := endpoints.Entry{ID: e.ID, Address: e.Address, Kind: kind, Zone: zone, Weight: 1, BootTime: e.BootTime}
	if len(ps) == 0 {
		n.Role = int(p.Config.Scheduler().Kinds[kind].Role)
	}
	if e.Weight != nil {
		n.Weight = *e.Weight
	}
	if e.State == "draining" {
		n.State = endpoints.Draining
	}
	return n, ps
}

func (p *Parser) zone(name string) (int, bool) {
	if name == "" {
		return 0, true
	}
	for i, z := range p.Config.Zones {
		if z == name {
			return i, true
		}
	}
	return 0, false
}

func (p *Parser) cell(name string) int {
	if p.cells == nil {
		p.cells = map[string]int{}
	}
	n, ok := p.cells[name]
	if !ok {
		n = len(p.cells)
		p.cells[name] = n
	}
	return n
}

// name returns the name of a cell's number.
func (p *Parser) name(cell int) string {
	for name, n := range p.cells {
		if n == cell {
			return name
		}
	}
	return ""
}
