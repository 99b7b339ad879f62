// Package discovery delivers the engine list from its source to the node.
//
// A source is a list file that is replaced by rename, or a list server with Consul's health API. A Follower polls it, decides by an
// endpoint view (internal/decide/endpoints) which list the node uses, passes each change to its caller, and saves the list for the
// next start.
package discovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"dillroute/api"
	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
)

// ListedEngine is an engine of a list file; api/list.schema.json describes its fields.
type ListedEngine struct {
	ID       string   `json:"id"`
	Address  string   `json:"address"`
	Kind     string   `json:"kind"`
	Cell     string   `json:"cell,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	State    string   `json:"state,omitempty"`
	Weight   *float64 `json:"weight,omitempty"`
	BootTime float64  `json:"boot_time,omitempty"`
}

// stateDraining is the state of an engine that gets no new work. All other states of the schema mean that it is ready.
const stateDraining = "draining"

// ListFile is the content of a list file.
type ListFile struct {
	Engines []ListedEngine `json:"engines"`
}

var schema = config.MustSchema(api.ListSchema)

// Parser converts lists to endpoints. It numbers cells in the order in which they first appear, and a cell's number never changes. A
// Parser is not safe for concurrent use.
type Parser struct {
	Config *config.Config
	cells  map[string]int
}

// ParseFile parses a complete list file. On errors, it returns all problems of the file and no endpoints.
func (p *Parser) ParseFile(text []byte) ([]endpoints.Endpoint, error) {
	var file ListFile
	if err := schema.Decode(text, &file); err != nil {
		return nil, err
	}
	var problems config.Problems
	parsed := []endpoints.Endpoint{}
	for i, listed := range file.Engines {
		endpoint, found := p.endpoint(listed)
		problems = appendProblems(problems, fmt.Sprintf("/engines/%d", i), found)
		parsed = append(parsed, endpoint)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	for i, listed := range file.Engines {
		parsed[i].Cell = p.cellNumber(listed.Cell)
	}
	return parsed, nil
}

// appendProblems appends the problems of one engine, whose pointers are relative to prefix.
func appendProblems(problems config.Problems, prefix string, found config.Problems) config.Problems {
	for _, problem := range found {
		problems = append(problems, config.Problem{Pointer: prefix + problem.Pointer, Text: problem.Text})
	}
	return problems
}

// endpoint converts one engine, except for its cell. The caller sets the cell once the whole list is known to be valid, because an
// invalid list must not assign numbers to cells.
func (p *Parser) endpoint(listed ListedEngine) (endpoints.Endpoint, config.Problems) {
	var problems config.Problems
	kind, ok := p.Config.KindIndex(listed.Kind)
	if !ok {
		problems = append(problems, config.Problem{Pointer: "/kind", Text: fmt.Sprintf("no kind is named %q", listed.Kind)})
	}
	zone, ok := p.zoneNumber(listed.Zone)
	if !ok {
		problems = append(problems, config.Problem{Pointer: "/zone", Text: fmt.Sprintf("%q is not one of the node's zones", listed.Zone)})
	}
	endpoint := endpoints.Endpoint{
		ID:       listed.ID,
		Address:  listed.Address,
		Kind:     kind,
		Zone:     zone,
		Weight:   1,
		BootTime: listed.BootTime,
	}
	if len(problems) == 0 {
		endpoint.Role = int(p.Config.Scheduler().Kinds[kind].Role)
	}
	if listed.Weight != nil {
		endpoint.Weight = *listed.Weight
	}
	if listed.State == stateDraining {
		endpoint.State = endpoints.Draining
	}
	return endpoint, problems
}

// zoneNumber returns the index of a zone in the node's configuration; "" is the first zone.
func (p *Parser) zoneNumber(name string) (number int, ok bool) {
	if name == "" {
		return 0, true
	}
	number = slices.Index(p.Config.Zones, name)
	return max(0, number), number >= 0
}

// cellNumber returns the number of a cell and assigns the next number to a new cell.
func (p *Parser) cellNumber(name string) int {
	if p.cells == nil {
		p.cells = map[string]int{}
	}
	number, ok := p.cells[name]
	if !ok {
		number = len(p.cells)
		p.cells[name] = number
	}
	return number
}

// cellName returns the name of the cell with the given number; "" if there is none.
func (p *Parser) cellName(cell int) string {
	for name, number := range p.cells {
		if number == cell {
			return name
		}
	}
	return ""
}

// encode returns the content of a list file that ParseFile parses to these endpoints.
func (p *Parser) encode(parsed []endpoints.Endpoint) ([]byte, error) {
	file := ListFile{Engines: []ListedEngine{}}
	for _, endpoint := range parsed {
		weight := endpoint.Weight
		listed := ListedEngine{
			ID:       endpoint.ID,
			Address:  endpoint.Address,
			Kind:     p.Config.Kinds[endpoint.Kind].Name,
			Cell:     p.cellName(endpoint.Cell),
			Weight:   &weight,
			BootTime: endpoint.BootTime,
		}
		if endpoint.Zone < len(p.Config.Zones) {
			listed.Zone = p.Config.Zones[endpoint.Zone]
		}
		if endpoint.State == endpoints.Draining {
			listed.State = stateDraining
		}
		file.Engines = append(file.Engines, listed)
	}
	return json.Marshal(file)
}
