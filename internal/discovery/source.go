package discovery

import "dillroute/internal/decide/endpoints"

// maxListBytes bounds the bytes of a list.
const maxListBytes = 64 << 20

// response is what a source gave, or why it gave nothing.
type response struct {
	list       endpoints.List
	indexReset bool // the source's index fell: it started anew
	err        error
}

// source reads lists until it is stopped.
type source interface {
	// run sends responses until stop closes. It returns only then.
	run(responses chan<- response, stop <-chan struct{})
}
