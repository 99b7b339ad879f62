// Package scheduler decides, for one node of a router for language-model serving with separate prefill and decode engines,
// where and when each request is sent, and which final response it gets if it can't be served.
//
// It does no I/O, reads no clock and starts no goroutine. Its caller, the host, turns what it receives into events,
// passes them to [Scheduler.Step], and carries out the actions that Step returns. The hosts are the node (internal/node,
// through the request table) and the bench adapter (cmd/adapter).
//
// # Contract of Step
//
// The host passes events in the order in which it observed them, and carries out the actions in the order in which they are
// returned. Step first applies all events and then makes one decision pass, which takes all events of the call into account.
// The same Config, seed, times and events always produce the same actions. Times are in seconds on the host's clock; a time
// before that of the previous call is replaced by that of the previous call. Token counts are numbers of tokens.
// A Scheduler is not safe for concurrent use: one goroutine owns it.
//
// Each accepted Request gets exactly one final response: Reject, Fail, or the response that the client receives from an
// attempt. Attempts of a request are numbered from 0 in the order of their Send actions, and a request has at most one
// attempt in flight. An event that names an unknown request, attempt or engine has no effect, except that the load report of
// a known engine is recorded even if the request or the attempt is unknown.
//
// # Files
//
// Each policy file makes the decisions of one concern; deploy/balancer.toml lists them. The other files are the interface
// (config.go, events.go, actions.go, validate.go) and the state (request.go, engine.go). In comments, "paper" is "Adaptive
// Request Scheduling for CodeLLM Serving with SLA Guarantees" (SABER), and "design" is the design document of dillroute.
package scheduler
