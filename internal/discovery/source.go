package discovery

import "dillroute/internal/decide/endpoints"

// maxListBytes is the maximum size of a list.
const maxListBytes = 64 << 20

// response is a list from a source, or the error with which reading it failed.
type response struct {
	list       endpoints.List
	indexReset bool // the source's index fell, because its server was restarted
	err        error
}

// source is a source of lists.
type source interface {
	// run sends responses until stop is closed, and returns only then.
	run(responses chan<- response, stop <-chan struct{})
}
