// Command adapter runs one scheduler for each node that the bench emulates, and uses the bench's line protocol on standard input and
// output. It makes no decisions. It exits with code 0 at the end of its input, and with code 1 if it can't read the input.
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

// run replies to each batch of the input until the input ends.
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
		if err := h.reply(batch); err != nil {
			return err
		}
	}
}

// host holds the schedulers by the number of their node.
type host struct {
	schedulers map[int]*scheduler.Scheduler
	encoder    *benchwire.Encoder
	log        io.Writer
}

// nodeEvents holds the events of a batch for one node, in order.
type nodeEvents struct {
	node   int
	events []scheduler.Event
}

// reply runs one step of each node that has events in the batch, and writes the reply.
func (h *host) reply(batch *benchwire.Batch) error {
	groups, err := h.groupByNode(batch.Items)
	if err != nil {
		return err
	}
	for _, group := range groups {
		if err := h.step(group, batch.Now); err != nil {
			return err
		}
	}
	return h.encoder.EndReply(batch.Serial)
}

// groupByNode launches and kills nodes, and returns the events of each node, in the order in which the nodes first appear. The launch or
// kill of a node discards its earlier events of the batch.
func (h *host) groupByNode(items []benchwire.Item) ([]*nodeEvents, error) {
	var groups []*nodeEvents
	byNode := map[int]*nodeEvents{}
	for _, item := range items {
		group := byNode[item.Node]
		if group == nil {
			group = &nodeEvents{node: item.Node}
			byNode[item.Node] = group
			groups = append(groups, group)
		}
		switch {
		case item.Kill:
			delete(h.schedulers, item.Node)
			group.events = nil
		case item.Launch != nil:
			launched, err := scheduler.New(item.Launch.Config, item.Launch.Seed)
			if err != nil {
				return nil, fmt.Errorf("node %d: %w", item.Node, err)
			}
			h.schedulers[item.Node] = launched
			group.events = nil
		default:
			group.events = append(group.events, item.Event)
		}
	}
	return groups, nil
}

// step passes a node's events to its scheduler and writes the actions. If the scheduler panics, the failure is reported to the bench and
// the other nodes continue.
func (h *host) step(group *nodeEvents, now float64) error {
	target := h.schedulers[group.node]
	if target == nil || len(group.events) == 0 {
		return nil
	}
	actions, err := safeStep(target, now, group.events)
	if err != nil {
		fmt.Fprintln(h.log, "adapter:", err)
		h.encoder.SchedulerFailed(group.node, err.Error())
		return nil
	}
	return h.encoder.Actions(group.node, actions)
}

// safeStep runs a step of the scheduler and returns a panic as an error.
func safeStep(target *scheduler.Scheduler, now float64, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			actions, err = nil, fmt.Errorf("decision code: %v", cause)
		}
	}()
	return target.Step(now, events), nil
}
