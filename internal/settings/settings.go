// Package settings reads the settings object with which the users' platform starts a node, the same for the bench's adapter and
// for a node in service, and turns it into the scheduler's configuration. It decides nothing.
package settings

import (
	"encoding/json"

	"dillroute/scheduler"
)

// Settings are the object as far as it is used. Times are in seconds.
type Settings struct {
	Scheduler            scheduler.Config
	Classes              []string // names, in the order of the scheduler's classes
	Tenants              []string
	Zones                []string
	Kinds                []string
	MaxOpen              int
	EngineIdleTimeout    float64 // after which an engine closes an idle connection at the latest; 0 = not stated
	ConnectTimeout       float64 // within which a connection must be made; 0 = not stated
	LongestClientTimeout float64 // the longest of all classes
	ClientsResume        bool    // clients come again for the rest of a stream that broke
}

// Parse reads the object. An error names the field that cannot be read.
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
		Zones:             d.Localities,
		Kinds:             d.MachineTypes,
		MaxOpen:           d.Limits.MaxOpen,
		EngineIdleTimeout: d.Limits.KeepAlive,
		ConnectTimeout:    d.Limits.Connect,
		ClientsResume:     d.Family.Resume,
	}
	for _, class := range d.Classes {
		s.Classes = append(s.Classes, class.Name)
		s.LongestClientTimeout = max(s.LongestClientTimeout, class.HardLimit)
	}
	for _, account := range d.Accounts {
		s.Tenants = append(s.Tenants, account.Name)
	}
	return s, nil
}
