package discovery

import (
	"encoding/json"
	"fmt"
	"strconv"

	"dillroute/internal/config"
	"dillroute/internal/decide/endpoints"
)

// maxPort is the highest port of TCP.
const maxPort = 65535

// consulInstance is an entry of a response of Consul's health endpoint, with the fields that are used.
type consulInstance struct {
	Node struct {
		Node, Address, Datacenter string
		Meta                      map[string]string
	}
	Service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
		Weights     struct{ Passing, Warning int }
	}
	Checks []struct{ Status string }
}

// ParseConsul parses a response of the health endpoint. Kind, cell, zone, state and start time are in Service.Meta under the
// names of the list file. An instance with a critical check is draining: it gets no new work.
func (p *Parser) ParseConsul(text []byte) ([]endpoints.Endpoint, error) {
	var instances []consulInstance
	if err := json.Unmarshal(text, &instances); err != nil {
		return nil, config.Problems{{Pointer: "", Text: "not a list of instances: " + err.Error()}}
	}
	var problems config.Problems
	parsed := []endpoints.Endpoint{}
	for i, instance := range instances {
		listed, problem := instance.listedEngine()
		if problem != nil {
			problems = appendProblems(problems, fmt.Sprintf("/%d", i), config.Problems{*problem})
			continue
		}
		endpoint, found := p.endpoint(listed)
		problems = appendProblems(problems, fmt.Sprintf("/%d/Service/Meta", i), found)
		parsed = append(parsed, endpoint)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	for i, instance := range instances {
		parsed[i].Cell = p.cellNumber(instance.Service.Meta["cell"])
	}
	return parsed, nil
}

// listedEngine converts an instance to an engine of a list file.
func (x *consulInstance) listedEngine() (ListedEngine, *config.Problem) {
	meta := x.Service.Meta
	address := x.Service.Address
	if address == "" {
		address = x.Node.Address
	}
	switch {
	case x.Service.ID == "":
		return ListedEngine{}, &config.Problem{Pointer: "/Service/ID", Text: "is missing"}
	case address == "" || x.Service.Port < 1 || x.Service.Port > maxPort:
		return ListedEngine{}, &config.Problem{Pointer: "/Service", Text: "has no usable address and port"}
	}
	engine := ListedEngine{
		ID:      x.Service.ID,
		Address: fmt.Sprintf("%s:%d", address, x.Service.Port),
		Kind:    meta["kind"],
		Cell:    meta["cell"],
		Zone:    meta["zone"],
		State:   meta["state"],
	}
	if text := meta["boot_time"]; text != "" {
		bootTime, err := strconv.ParseFloat(text, 64)
		if err != nil || !(bootTime >= 0) { // the comparison is false for a NaN too
			return ListedEngine{}, &config.Problem{Pointer: "/Service/Meta/boot_time", Text: fmt.Sprintf("%q is not a time", text)}
		}
		engine.BootTime = bootTime
	}
	if weight := float64(x.Service.Weights.Passing); weight > 0 {
		engine.Weight = &weight
	}
	if x.critical() {
		engine.State = stateDraining
	}
	return engine, nil
}

// critical reports whether a check of the instance is critical.
func (x *consulInstance) critical() bool {
	for _, check := range x.Checks {
		if check.Status == "critical" {
			return true
		}
	}
	return false
}
