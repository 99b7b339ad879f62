package scenario

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"dillroute/lab/record"
)

// nodeSlot is the name, zone and rank of a node, and the running node if there is one. run.mu guards the fields from node to restarting.
type nodeSlot struct {
	name, zone string
	rank       int

	node       Node // nil = down
	address    string
	stoppedAt  time.Time
	restarting bool

	listMu     sync.Mutex // guards listSerial and the list file
	listSerial int        // of the newest list that was delivered
}

const (
	// launchAttempts is the maximum number of attempts to start a node: the socket of its predecessor may still be closing.
	launchAttempts = 100
	// launchRetryInterval is the time between two attempts to start a node.
	launchRetryInterval = 10 * time.Millisecond
	// readyTimeout bounds the wait for a started node to become ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the time between two checks of whether a started node is ready.
	readyPollInterval = time.Millisecond
	// shutdownTimeout bounds the graceful shutdown of a node.
	shutdownTimeout = 2 * time.Second
)

// startNodes starts all nodes with the initial endpoint list.
func (r *run) startNodes() error {
	if r.listServer != nil {
		r.fleet.UpdateListServer(r.fleet.List(), r.listServer, r.nodeNames())
	}
	for rank, name := range r.nodeNames() {
		slot := &nodeSlot{name: name, rank: rank}
		if zones := r.script.Zones; len(zones) > 0 {
			slot.zone = zones[rank%len(zones)]
		}
		r.nodes = append(r.nodes, slot)
		if r.listServer == nil {
			if err := r.fleet.WriteListFile(r.fleet.List(), slot.name, r.listFile(slot)); err != nil {
				return err
			}
		}
		if err := r.startNode(slot); err != nil {
			return err
		}
	}
	return nil
}

// nodeNames returns the names of all nodes, by rank.
func (r *run) nodeNames() []string {
	var names []string
	for rank := range r.script.Nodes {
		names = append(names, fmt.Sprintf("node-%d", rank))
	}
	return names
}

// startNode starts a node and waits until it is ready or readyTimeout has passed. A restarted node listens at its previous address and has
// no state but its latest endpoint list.
func (r *run) startNode(slot *nodeSlot) error {
	node, started, err := r.launch(slot)
	if err != nil {
		return err
	}
	for end := started.Add(readyTimeout); !node.Ready() && time.Now().Before(end); {
		time.Sleep(readyPollInterval)
	}
	r.mu.Lock()
	r.readyTimes.RecordValue(max(1, time.Since(started).Microseconds()))
	r.nodeStarts++
	slot.node = node
	slot.address = node.Addr().String()
	r.mu.Unlock()
	r.log.Add(record.Record{Kind: record.NodeStarted, Node: slot.name})
	return nil
}

// launch starts a node and returns the time at which the attempt that succeeded began.
func (r *run) launch(slot *nodeSlot) (node Node, started time.Time, err error) {
	listen := slot.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	for range launchAttempts {
		started = time.Now()
		node, err = r.options.Launch(slot.name, r.nodeConfig(slot, listen))
		if err == nil {
			break
		}
		time.Sleep(launchRetryInterval)
	}
	return node, started, err
}

// killNode kills a node immediately, and records the time before and after that. If the node is already down, it only sets stoppedAt to the
// current time.
func (r *run) killNode(slot *nodeSlot) {
	r.mu.Lock()
	node := slot.node
	slot.node = nil
	slot.stoppedAt = time.Now()
	r.mu.Unlock()
	if node == nil {
		return
	}
	r.log.Add(record.Record{Kind: record.NodeKilled, Node: slot.name})
	node.Stop()
	r.log.Add(record.Record{Kind: record.NodeKilled, Node: slot.name, Note: "until now"})
}

// stopNodes shuts all nodes down gracefully.
func (r *run) stopNodes() {
	var wg sync.WaitGroup
	for _, slot := range r.nodes {
		if slot.node == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			slot.node.Shutdown(shutdownTimeout)
		}()
	}
	wg.Wait()
}

const (
	// descriptorsPerRequest is the number of descriptors that a request in flight uses if all parts run in one process: one of its
	// client, two of its node, one of its engine, and at times one for the transfer of its state.
	descriptorsPerRequest = 5
	// minNodeDescriptors is the minimum number of descriptors that a node may use.
	minNodeDescriptors = 60
)

// nodeDescriptors returns a node's share of the process's descriptors; 0 = the node determines its own limit.
func (r *run) nodeDescriptors() int {
	if r.options.DescriptorLimit <= 0 {
		return 0
	}
	return max(minNodeDescriptors, r.options.DescriptorLimit*2/descriptorsPerRequest/r.script.Nodes)
}

// apiKey returns the API key of a tenant.
func apiKey(t Tenant) string { return "bad-day-key-" + t.Name }

func (r *run) listFile(slot *nodeSlot) string { return filepath.Join(r.dir, slot.name+".json") }

// object is a JSON object of a node's configuration, as described by api/config.schema.json.
type object map[string]any

// nodeConfig returns the text of a node's configuration.
func (r *run) nodeConfig(slot *nodeSlot, listen string) []byte {
	node := object{"name": slot.name, "rank": slot.rank, "nodes": r.script.Nodes}
	config := object{
		"listen":     listen,
		"node":       node,
		"local_read": r.script.Limits.LocalPrefill,
		"engines":    object{"file": r.listFile(slot), "poll_s": 0.1},
		"limits":     object{"max_attempts": r.script.Limits.MaxAttempts, "stall_s": 5, "shutdown_s": 2, "files": r.nodeDescriptors()},
		"rules":      r.rulesConfig(),
	}
	r.addLists(config)
	if r.listServer != nil {
		config["engines"] = object{"consul": r.listServer.Address(), "wait_s": 5}
	}
	if len(r.script.Zones) > 0 {
		config["zones"] = r.script.Zones
		node["zone"] = slot.zone
	}
	text, _ := json.Marshal(config) // strings and numbers encode
	return text
}

// addLists adds the kinds, classes, models and tenants of the script to a node's configuration.
func (r *run) addLists(config object) {
	var kinds, classes, models, tenants []any
	for _, k := range r.script.Kinds {
		kinds = append(kinds, object{"name": k.Name, "role": k.Role, "memory_tokens": k.MemoryTokens})
	}
	for _, c := range r.script.Classes {
		classes = append(classes, object{
			"name":                     c.Name,
			"effect":                   c.Effect,
			"group":                    c.Group,
			"key_window_s":             c.KeyTTL,
			"aim_s":                    c.LatencyObjective,
			"aim_per_1k_prompt_s":      c.LatencyObjectivePerK,
			"patience_s":               c.Patience,
			"patience_per_1k_prompt_s": c.PatiencePerK,
			"token_aim_s":              c.TokenLatencyObjective,
			"max_tokens":               c.MaxTokens,
		})
		models = append(models, object{"name": c.Name, "class": c.Name})
	}
	for _, t := range r.script.Tenants {
		tenants = append(tenants, object{"name": t.Name, "keys": []string{apiKey(t)}, "quota_per_s": t.Quota})
	}
	config["kinds"] = kinds
	config["classes"] = classes
	config["models"] = models
	config["tenants"] = tenants
}

func (r *run) rulesConfig() object {
	ruleValues := r.script.Rules
	return object{
		"answer_slack_s": ruleValues.AnswerSlack,
		"drain_grace_s":  ruleValues.DrainGrace,
		"cold_share":     ruleValues.SlowStartShare,
		"cold_s":         ruleValues.SlowStartSeconds,
		"fall_multiple":  ruleValues.OverloadMultiple,
		"tip_after_s":    ruleValues.SlowStartWindow,
		"let_go_by_s":    ruleValues.StateReleaseLimit,
	}
}
