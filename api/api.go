// Package api contains the published JSON Schemas of the files that the program reads.
package api

import _ "embed"

// ConfigSchema is the JSON Schema of a node's configuration.
//
//go:embed config.schema.json
var ConfigSchema []byte

// ListSchema is the JSON Schema of an engine list.
//
//go:embed list.schema.json
var ListSchema []byte

// EngineSchema is the JSON Schema of the settings of one emulated engine.
//
//go:embed engine.schema.json
var EngineSchema []byte

// ScenarioSchema is the JSON Schema of a scripted fault scenario.
//
//go:embed scenario.schema.json
var ScenarioSchema []byte
