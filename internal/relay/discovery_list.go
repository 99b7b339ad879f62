package relay

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"dillroute/internal/decide/endpoints"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// maxListBytes bounds the body of a list response.
const maxListBytes = 4 << 20

// millisecondsPerSecond converts the times of a list, which are in milliseconds.
const millisecondsPerSecond = 1000

// States of an engine in discovery's lists (PROTOCOL).
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// listResponse is a list in discovery's format.
type listResponse struct {
	Version int64          `json:"version"`
	Full    bool           `json:"full"` // false = holds only the changes since the requested version
	Servers []listedServer `json:"servers"`
}

// listedServer is one engine of a listResponse.
type listedServer struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

// unmarshalList decodes a list without validating it.
func unmarshalList(body []byte) (*listResponse, error) {
	var list listResponse
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	return &list, nil
}

// readList decodes and validates the list of a response. One invalid server makes the whole list invalid.
func readList(body []byte) (*listResponse, error) {
	list, err := unmarshalList(body)
	if err != nil {
		return nil, fmt.Errorf("relay: list: %w", err)
	}
	if list.Version < 0 {
		return nil, fmt.Errorf("relay: list: version %d is negative", list.Version)
	}
	for i, server := range list.Servers {
		if !server.valid() {
			return nil, fmt.Errorf("relay: list: servers[%d] has no id or an unknown state (%q)", i, truncate(server.State))
		}
	}
	return list, nil
}

// valid reports whether a server has an id and a known state.
func (e *listedServer) valid() bool {
	if e.ID == "" {
		return false
	}
	return e.State == stateUp || e.State == stateDraining || e.State == stateRemoved
}

// listDecoder translates the names of kinds and zones in lists into their indexes in the settings.
type listDecoder struct {
	kinds map[string]int
	zones map[string]int
	roles []scheduler.Kind // by index of the kind
	log   *slog.Logger
}

func newListDecoder(s *settings.Settings, log *slog.Logger) listDecoder {
	return listDecoder{kinds: indexByName(s.Kinds), zones: indexByName(s.Zones), roles: s.Scheduler.Kinds, log: log}
}

// updates translates a list. An engine of a kind that the settings lack is omitted, unless it was removed.
func (d listDecoder) updates(list *listResponse) []endpoints.Update {
	var updates []endpoints.Update
	for _, server := range list.Servers {
		kind, known := d.kinds[server.Kind]
		if !known && server.State != stateRemoved {
			d.log.Warn("endpoint rejected", "reason", "unknown kind", "engine", server.ID, "kind", truncate(server.Kind))
			continue
		}
		update := endpoints.Update{
			Removed: server.State == stateRemoved,
			Endpoint: endpoints.Endpoint{
				ID:       server.ID,
				Address:  server.Addr,
				Kind:     kind,
				Cell:     server.Cell,
				Zone:     d.zones[server.Zone],
				Weight:   server.Weight,
				BootTime: server.Started / millisecondsPerSecond,
			},
		}
		if known {
			update.Role = int(d.roles[kind].Role)
		}
		if server.State == stateDraining {
			update.State = endpoints.Draining
		}
		updates = append(updates, update)
	}
	return updates
}

// endpointList converts changes, which are in order of id, to the type of the host. The caller holds d.mu.
func (d *Discovery) endpointList(changes []endpoints.Update, saved bool) protocol.EndpointList {
	now := d.clock.Now()
	wall := d.clock.Wall()
	list := protocol.EndpointList{Form: scheduler.UpdateIncremental, Addresses: map[string]string{}, Saved: saved}
	for _, change := range changes {
		bootTime := d.startTimes.LocalTime(change.ID, change.BootTime, now, wall, d.lastResponse)
		engine := protocol.EngineOf(change.Endpoint, bootTime)
		if change.Removed {
			engine.State = scheduler.EngineRemoved
			d.startTimes.Remove(change.ID, now)
		}
		list.Engines = append(list.Engines, engine)
		if change.Address != "" {
			list.Addresses[change.ID] = change.Address
		}
	}
	return list
}
