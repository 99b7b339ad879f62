// Package benchwire implements the bench's line protocol (orchid-7119): it decodes lines into events of package scheduler, and encodes
// actions as lines. It makes no decisions. It is used by cmd/adapter.
//
// A batch of input is a SYNC line, then TO lines that name a node, each followed by that node's messages, and a GO line. A line is a
// name and fields "key=value", separated by tabs. Unknown messages are ignored, so that the input of a newer bench can be read. A known
// message that is malformed results in an error that names its line and field.
package benchwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// inputBufferBytes is the size of the input buffer. Lines may be longer.
const inputBufferBytes = 1 << 20

// Item is one message of a batch. Exactly one of Launch, Kill and Event is set.
type Item struct {
	Node   int
	Launch *Launch
	Kill   bool
	Event  scheduler.Event
}

// Launch starts a node with a configuration and a random seed.
type Launch struct {
	Config scheduler.Config
	Seed   uint64
}

// Batch holds the messages that arrive at the same time.
type Batch struct {
	Now    float64 // seconds
	Serial string  // repeated in the reply
	Items  []Item
}

// Decoder reads batches. It keeps each node's configuration to check that indices are in range.
type Decoder struct {
	input   *bufio.Reader
	line    int
	configs map[int]*scheduler.Config
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{input: bufio.NewReaderSize(r, inputBufferBytes), configs: map[int]*scheduler.Config{}}
}

// Next returns the next batch, or io.EOF at the end of the input.
func (d *Decoder) Next() (*Batch, error) {
	r, err := d.nextRecord()
	if err != nil {
		return nil, err
	}
	if r.name != "SYNC" {
		return nil, fmt.Errorf("line %d: got %q, want SYNC at the start of a batch", r.line, clip(r.name))
	}
	batch := &Batch{Now: r.number("sim_time_s", required), Serial: r.text("serial")}
	if r.err != nil {
		return nil, r.err
	}
	if err := d.readItems(batch); err != nil {
		return nil, err
	}
	return batch, nil
}

// readItems reads the messages of a batch up to its GO line.
func (d *Decoder) readItems(batch *Batch) error {
	node := -1
	for {
		r, err := d.nextRecord()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: input ends within a batch", d.line)
		}
		if err != nil {
			return err
		}
		switch r.name {
		case "GO":
			return nil
		case "TO":
			node = r.integer("node_id", required)
		default:
			err = d.readItem(r, node, batch)
		}
		if err != nil {
			return err
		}
		if r.err != nil {
			return r.err
		}
	}
}

// readItem decodes one message and appends it to the batch. It ignores unknown messages.
func (d *Decoder) readItem(r *record, node int, batch *Batch) error {
	if node < 0 {
		return fmt.Errorf("line %d: %s before any TO", r.line, clip(r.name))
	}
	config := d.configs[node]
	if config == nil && r.name != "LAUNCH" {
		return fmt.Errorf("line %d: %s for node %d, which was not launched", r.line, clip(r.name), node)
	}
	item := Item{Node: node}
	switch r.name {
	case "LAUNCH":
		item.Launch = d.launch(r, node)
	case "KILL":
		item.Kill = true
	case "PEERS_KNOWN":
		update, err := d.endpointUpdate(r, config)
		if err != nil {
			return err
		}
		item.Event = update
	default:
		decode := eventDecoders[r.name]
		if decode == nil {
			return nil
		}
		item.Event = decode(r, config)
	}
	batch.Items = append(batch.Items, item)
	return nil
}

func (d *Decoder) launch(r *record, node int) *Launch {
	seed, err := strconv.ParseUint(r.fields["random_seed"], 10, 64)
	if err != nil {
		r.fail("random_seed", "%q is not a non-negative integer", clip(r.fields["random_seed"]))
	}
	parsed, err := settings.Parse([]byte(r.text("facts")))
	if err != nil {
		r.fail("facts", "%v", err)
		parsed = &settings.Settings{}
	}
	d.configs[node] = &parsed.Scheduler
	return &Launch{Config: parsed.Scheduler, Seed: seed}
}

// endpointUpdate decodes an update of the endpoint list, whose entries are on the lines that follow.
func (d *Decoder) endpointUpdate(r *record, config *scheduler.Config) (scheduler.EndpointUpdate, error) {
	update := scheduler.EndpointUpdate{Form: lookup(r, "form", updateForms)}
	entries := r.integer("members", update.Form != scheduler.UpdateFailed)
	if r.err != nil {
		return update, r.err
	}
	for i := range entries {
		entry, err := d.nextRecord()
		if errors.Is(err, io.EOF) {
			return update, fmt.Errorf("line %d: input ends within a list", d.line)
		}
		if err != nil {
			return update, err
		}
		if entry.name != "ITEM" {
			return update, fmt.Errorf("line %d: got %s, want ITEM %d of %d", entry.line, clip(entry.name), i+1, entries)
		}
		update.Engines = append(update.Engines, decodeEngine(entry, config))
		if entry.err != nil {
			return update, entry.err
		}
	}
	return update, nil
}

// nextRecord returns the next line that isn't empty, or io.EOF at the end of the input.
func (d *Decoder) nextRecord() (*record, error) {
	for {
		line, err := d.input.ReadString('\n')
		if errors.Is(err, io.EOF) && strings.TrimSpace(line) == "" {
			return nil, io.EOF
		}
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: input ends within a line", d.line+1)
		}
		if err != nil {
			return nil, err
		}
		d.line++
		line = strings.TrimRight(line, "\r\n")
		if line != "" {
			return parseRecord(line, d.line)
		}
	}
}
