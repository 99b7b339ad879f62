package rules

import (
	"container/heap"

	"dillroute/lab/record"
)

// reorderWindow is by how much records may come out of order (s): many goroutines write those of one moment.
const reorderWindow = 0.5

// reorderBuffer holds records until no earlier one can come, and returns them in order of time.
type reorderBuffer struct {
	waiting recordHeap
	latest  float64 // time of the latest record
	serial  uint64
}

func (b *reorderBuffer) add(r record.Record) {
	b.serial++
	heap.Push(&b.waiting, waitingRecord{Record: r, serial: b.serial})
	b.latest = max(b.latest, r.T)
}

// nextDue removes the earliest record if it is older than the reorder window.
func (b *reorderBuffer) nextDue() (record.Record, bool) {
	if len(b.waiting) == 0 || b.waiting[0].T >= b.latest-reorderWindow {
		return record.Record{}, false
	}
	return b.next()
}

// next removes the earliest record.
func (b *reorderBuffer) next() (record.Record, bool) {
	if len(b.waiting) == 0 {
		return record.Record{}, false
	}
	return heap.Pop(&b.waiting).(waitingRecord).Record, true
}

// waitingRecord is a record in the buffer. The serial keeps the order of those with the same time.
type waitingRecord struct {
	record.Record
	serial uint64
}

// recordHeap is a heap by time. A sorted slice moved every later record at each insertion: at 20,000 records a second the
// checker took more of the machine than what it checked.
type recordHeap []waitingRecord

func (h recordHeap) Len() int      { return len(h) }
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h recordHeap) Less(i, j int) bool {
	return h[i].T < h[j].T || h[i].T == h[j].T && h[i].serial < h[j].serial
}

// Push appends a record, as container/heap requires.
func (h *recordHeap) Push(x any) { *h = append(*h, x.(waitingRecord)) }

// Pop removes the last record, as container/heap requires.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = waitingRecord{}
	*h = (*h)[:last]
	return x
}
