// Package members brings the engine list from its source to the node.
package members

import (
	"fmt"
	"sort"

	"dillroute/api"
	"dillroute/brain"
	"dillroute/internal/config"
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

// List is a list that was understood.
type List struct {
	Engines   []brain.Engine
	Addresses map[string]string // by id
}

var schema = config.MustSchema(api.ListSchema)

// Parser turns list files into lists. Cells are numbered as they are first met, and keep their number.
type Parser struct {
	Config *config.Config
	cells  map[string]int
}

// Parse reads a whole list. All that is wrong is told at once, and then nothing of it is taken.
func (p *Parser) Parse(text []byte) (*List, error) {
	var f File
	if err := schema.Decode(text, &f); err != nil {
		return nil, err
	}
	var ps config.Problems
	l, ids := &List{Addresses: map[string]string{}}, map[string]int{}
	for i, e := range f.Engines {
		at := fmt.Sprintf("/engines/%d", i)
		if first, twice := ids[e.ID]; twice {
			ps = append(ps, config.Problem{Pointer: at + "/id", Text: fmt.Sprintf("%q is /engines/%d already", e.ID, first)})
		}
		ids[e.ID] = i
		kind, ok := p.Config.KindIndex(e.Kind)
		if !ok {
			ps = append(ps, config.Problem{Pointer: at + "/kind", Text: fmt.Sprintf("no kind is named %q", e.Kind)})
		}
		zone, ok := p.zone(e.Zone)
		if !ok {
			ps = append(ps, config.Problem{Pointer: at + "/zone", Text: fmt.Sprintf("%q is not one of the node's zones", e.Zone)})
		}
		n := brain.Engine{ID: e.ID, Kind: kind, Zone: zone, Weight: 1, BootTime: e.BootTime}
		if e.Weight != nil {
			n.Weight = *e.Weight
		}
		if e.State == "draining" {
			n.State = brain.Draining
		}
		l.Engines = append(l.Engines, n)
		l.Addresses[e.ID] = e.Address
	}
	if len(ps) > 0 {
		return nil, ps
	}
	for i, e := range f.Engines {
		l.Engines[i].Cell = p.cell(e.Cell)
	}
	sort.Slice(l.Engines, func(i, j int) bool { return l.Engines[i].ID < l.Engines[j].ID })
	return l, nil
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
