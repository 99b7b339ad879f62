// Package settings parses the settings object with which the users' platform starts a node, and converts it to the scheduler's
// configuration. The object is the same for the bench's adapter and for a node in service. The package makes no decisions.
package settings

import (
	"encoding/json"

	"dillroute/scheduler"
)

// Settings holds the parts of the settings object that are used. Times are in seconds.
type Settings struct {
	Scheduler            scheduler.Config
	Classes              []string // names, in the order of the scheduler's classes
	Tenants              []string
	Zones                []string
	Kinds                []string
	MaxOpen              int
	EngineIdleTimeout    float64 // longest time after which an engine closes an idle connection; 0 = not stated
	ConnectTimeout       float64 // time within which a connection must be established; 0 = not stated
	LongestClientTimeout float64 // longest client timeout of all classes
	ClientsResume        bool    // clients send a further request for the rest of a broken stream
}

// Parse parses the settings object. An error names the invalid field.
func Parse(text []byte) (*Settings, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	config, err := d.schedulerConfig()
	if err != nil {
		return nil, err
	}
	s := &Settings{
		Scheduler:         config,
		Zones:             d.Zones,
		Kinds:             d.Kinds,
		MaxOpen:           d.Limits.MaxOpen,
		EngineIdleTimeout: d.Limits.EngineIdleTimeout,
		ConnectTimeout:    d.Limits.ConnectTimeout,
		ClientsResume:     d.Family.ClientsResume,
	}
	for _, class := range d.Classes {
		s.Classes = append(s.Classes, class.Name)
		s.LongestClientTimeout = max(s.LongestClientTimeout, class.ClientTimeout)
	}
	for _, tenant := range d.Tenants {
		s.Tenants = append(s.Tenants, tenant.Name)
	}
	return s, nil
}
