// Command adapter hosts one scheduler for each instance of the bench and speaks the bench's line protocol on standard input
// and output. It decides nothing. It ends with exit code 0 at the end of its input, and with 1 on input that it can't read.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"dillroute/internal/benchwire"
	"dillroute/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of the input until it ends.
func run(input io.Reader, output, log io.Writer) error {
	decoder := benchwire.NewDecoder(input)
	h := host{schedulers: map[int]*scheduler.Scheduler{}, encoder: benchwire.NewEncoder(output), log: log}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answer(batch); err != nil {
			return err
		}
	}
}

// host holds the schedulers by the number of their instance.
type host struct {
	schedulers map[int]*scheduler.Scheduler
	encoder    *benchwire.Encoder
	log        io.Writer
}

// inbox is one instance's events of a batch, in order.
type inbox struct {
	node   int
	events []scheduler.Event
}

// answer takes one step of each instance that has events in the batch, and writes the reply.
func (h *host) answer(batch *benchwire.Batch) error {
	inboxes, err := h.sort(batch.Items)
	if err != nil {
		return err
	}
	for _, box := range inboxes {
		if err := h.step(box, batch.Now); err != nil {
			return err
		}
	}
	return h.encoder.Done(batch.Serial)
}

// sort launches and kills instances, and returns the events of each instance in order of its first appearance. An instance's
// launch or end voids its earlier events of the batch.
func (h *host) sort(items []benchwire.Item) ([]*inbox, error) {
	var inboxes []*inbox
	byNode := map[int]*inbox{}
	for _, item := range items {
		box := byNode[item.Node]
		if box == nil {
			box = &inbox{node: item.Node}
			byNode[item.Node] = box
			inboxes = append(inboxes, box)
		}
		switch {
		case item.Kill:
			delete(h.schedulers, item.Node)
			box.events = nil
		case item.Launch != nil:
			launched, err := scheduler.New(item.Launch.Config, item.Launch.Seed)
			if err != nil {
				return nil, fmt.Errorf("node %d: %w", item.Node, err)
			}
			h.schedulers[item.Node] = launched
			box.events = nil
		default:
			box.events = append(box.events, item.Event)
		}
	}
	return inboxes, nil
}

// step passes an instance its events and writes its actions. A panic of the scheduler is reported to the bench, and the
// other instances go on.
func (h *host) step(box *inbox, now float64) error {
	target := h.schedulers[box.node]
	if target == nil || len(box.events) == 0 {
		return nil
	}
	actions, err := safeStep(target, now, box.events)
	if err != nil {
		fmt.Fprintln(h.log, "adapter:", err)
		h.encoder.Broken(box.node, err.Error())
		return nil
	}
	return h.encoder.Actions(box.node, actions)
}

// safeStep turns a panic of the scheduler into an error.
func safeStep(target *scheduler.Scheduler, now float64, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			actions, err = nil, fmt.Errorf("decision code: %v", cause)
		}
	}()
	return target.Step(now, events), nil
}
