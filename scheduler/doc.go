// Package scheduler decides, for one router of a language-model service with separate prefill and decode engines, where
// each request goes and when, and which final response it gets if it can't be served.
//
// It does no I/O, reads no clock and starts no goroutine. Its caller, the host, turns what it receives into events,
// passes them to [Scheduler.Step], and carries out the actions that Step returns. Hosts are the node (internal/node,
// through the request table) and the bench adapter (cmd/adapter).
//
// # Contract of Step
//
// The host passes events in the order in which it learned of them, and carries out the actions in the order in which they
// are returned. Step first applies all events and then decides once, so that events of one call are judged together.
// The same Config, seed, times and events always lead to the same actions. Times are in seconds on the host's clock; a time
// that lies before that of the previous call counts as that of the previous call. Token counts are numbers of tokens.
// A Scheduler is not safe for concurrent use: one goroutine owns it.
//
// Each accepted Request gets exactly one final response: Reject, Fail, or the answer that the client receives from an
// attempt. Attempts of a request are numbered from 0 in the order of their Send actions, and a request has at most one
// attempt in flight. Events that name an unknown request, attempt or engine change nothing but the load that they report.
//
// # Files
//
// Each policy file decides one concern; deploy/balancer.toml lists them. The other files are the interface (config.go,
// events.go, actions.go, validate.go) and the state (request.go, engine.go). "Paper" in comments is "Adaptive
// Request Scheduling for CodeLLM Serving with SLA Guarantees" (SABER), "design" is the design document of dillroute.
package scheduler
