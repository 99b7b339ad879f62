// Package relay implements the relay protocol of the users' platform: its clients (Front), engines (Engines) and discovery (Discovery).
// It converts between bytes and the types of internal/protocol and makes no routing decisions. The host (internal/node) uses it; the
// design is described in docs/design/relay.md.
package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"dillroute/internal/decide/overload"
	"dillroute/internal/settings"
)

// Config is the configuration with which the platform starts a node.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  Limits
	SavedList               []byte // last endpoint list of this node, in discovery's format; empty = none
	Settings                *settings.Settings
}

// Limits are the resources that a node may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`
}

// Budget returns the limits, divided among the node's uses.
func (l Limits) Budget() overload.Budget {
	return overload.DivideLimits(l.Sockets, int64(l.MemoryMB*(1<<20)))
}

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Environment variables.
const (
	envName      = "RELAY_NAME"
	envListen    = "RELAY_LISTEN"
	envDiscovery = "RELAY_DISCOVERY"
	envConfig    = "RELAY_CONFIG"
)

// Load reads the configuration file whose path is in the environment. Name, Listen and Discovery are taken from the environment if the
// file lacks them.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, fmt.Errorf("%s is not set; it must name the configuration file", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	return Parse(text, getenv)
}

// Parse parses the text of a configuration file. Name, Listen and Discovery are taken from the environment if the text lacks them.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits, SavedList: f.Known}
	for _, member := range []struct {
		dest *string
		name string
	}{{&c.Name, envName}, {&c.Listen, envListen}, {&c.Discovery, envDiscovery}} {
		if *member.dest == "" {
			*member.dest = getenv(member.name)
		}
		if *member.dest == "" {
			return nil, fmt.Errorf("configuration: neither %s nor its member in the file is set", member.name)
		}
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("configuration: seed %q is not a hexadecimal number", truncate(f.Seed))
		}
	}
	if l := c.Limits; !(l.Cores >= 0 && l.MemoryMB >= 0 && l.Sockets >= 0) {
		return nil, fmt.Errorf("configuration: a limit is negative")
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("configuration: settings are missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	return c, nil
}

func truncate(s string) string {
	if len(s) > 60 {
		return s[:60] + "…"
	}
	return s
}
