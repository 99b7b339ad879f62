package protocol

import (
	"dillroute/internal/decide/endpoints"
	"dillroute/scheduler"
)

// EngineOf converts an endpoint to the type of the scheduler's endpoint list. bootTime is the time of the engine's last start by the
// node's clock, in seconds.
func EngineOf(endpoint endpoints.Endpoint, bootTime float64) scheduler.Engine {
	engine := scheduler.Engine{
		ID:       endpoint.ID,
		Kind:     endpoint.Kind,
		Cell:     endpoint.Cell,
		Zone:     endpoint.Zone,
		Weight:   endpoint.Weight,
		BootTime: bootTime,
	}
	if endpoint.State == endpoints.Draining {
		engine.State = scheduler.EngineDraining
	}
	return engine
}
