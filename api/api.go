// Package api holds the published descriptions: JSON Schemas of the files that the program reads.
package api

import _ "embed"

// ConfigSchema describes a node's configuration.
//
//go:embed config.schema.json
var ConfigSchema []byte

// ListSchema describes an engine list.
//
//go:embed list.schema.json
var ListSchema []byte

// EngineSchema describes the settings of one emulated engine.
//
//go:embed engine.schema.json
var EngineSchema []byte

// ScenarioSchema describes a scripted fault scenario.
//
//go:embed scenario.schema.json
var ScenarioSchema []byte
