package node

import "sync"

// jobGroup counts the goroutines that it starts. Unlike a sync.WaitGroup it may be waited for while more are started.
type jobGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when running falls to zero; nil while nobody waits
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

// wait returns when no goroutine of the group runs.
func (g *jobGroup) wait() {
	if idle := g.idleSignal(); idle != nil {
		<-idle
	}
}

// idleSignal returns a channel that is closed when no goroutine runs; nil if none runs now.
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
