package node

import "sync"

// jobs counts goroutines. Unlike a sync.WaitGroup it may be waited for while more are started.
type jobs struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to zero; nil while nobody waits
}

// start runs f on a goroutine of its own.
func (j *jobs) start(f func()) {
	j.mu.Lock()
	j.n++
	j.mu.Unlock()
	go func() {
		defer j.end()
		f()
	}()
}

func (j *jobs) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.n--; j.n == 0 && j.idle != nil {
		close(j.idle)
		j.idle = nil
	}
}

// wait returns when none runs.
func (j *jobs) wait() {
	j.mu.Lock()
	if j.n == 0 {
		j.mu.Unlock()
		return
	}
	if j.idle == nil {
		j.idle = make(chan struct{})
	}
	idle := j.idle
	j.mu.Unlock()
	<-idle
}
