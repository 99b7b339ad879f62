// Command adapter hosts one scheduler.Scheduler for each instance and speaks the wire on
// standard input and output. It decides nothing.
package main

import (
	"fmt"
	"io"
	"os"

	"dillroute/internal/benchwire"
	"dillroute/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	dec, enc := benchwire.NewDecoder(in), benchwire.NewEncoder(out)
	h := host{}
	for {
		b, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(b, enc); err != nil {
			return err
		}
		if err := enc.Done(b.Serial); err != nil {
			return err
		}
	}
}

// host holds the routers by node number.
type host map[int]*scheduler.Scheduler

// inbox is one instance's part of a batch.
type inbox struct {
	node   int
	events []scheduler.Event
}

// batch passes each instance its events, in order of first appearance.
func (h host) batch(b *benchwire.Batch, enc *benchwire.Encoder) error {
	var boxes []*inbox
	byNode := map[int]*inbox{}
	for _, it := range b.Items {
		box := byNode[it.Node]
		if box == nil {
			box = &inbox{node: it.Node}
			byNode[it.Node] = box
			boxes = append(boxes, box)
		}
		switch {
		case it.Kill: // all that the instance knew is void
			delete(h, it.Node)
			box.events = nil
		case it.Launch != nil:
			r, err := scheduler.New(it.Launch.Config, it.Launch.Seed)
			if err != nil {
				return fmt.Errorf("node %d: %w", it.Node, err)
			}
			h[it.Node] = r
			box.events = nil
		default:
			box.events = append(box.events, it.Event)
		}
	}
	for _, box := range boxes {
		r := h[box.node]
		if r == nil || len(box.events) == 0 {
			continue
		}
		acts, err := step(r, b.Now, box.events)
		if err != nil {
			fmt.Fprintln(os.Stderr, "adapter:", err)
			enc.Broken(box.node, err.Error())
			continue
		}
		if err := enc.Actions(box.node, acts); err != nil {
			return err
		}
	}
	return nil
}

// step turns a panic of the decision code into an error.
func step(r *scheduler.Scheduler, now float64, events []scheduler.Event) (acts []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts, err = nil, fmt.Errorf("decision code: %v", p)
		}
	}()
	return r.Step(now, events), nil
}
