package node

import "sync"

// jobGroup starts goroutines and waits for them. Unlike with a sync.WaitGroup, goroutines may be started while another one waits.
type jobGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when running falls to zero; nil = no goroutine waits
}

// start runs f on a goroutine of its own.
func (g *jobGroup) start(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.end()
		f()
	}()
}

func (g *jobGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// wait blocks until no goroutine of the group is running.
func (g *jobGroup) wait() {
	if idle := g.idleSignal(); idle != nil {
		<-idle
	}
}

// idleSignal returns a channel that is closed as soon as no goroutine of the group is running, or nil if none is running now.
func (g *jobGroup) idleSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
