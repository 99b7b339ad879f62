package rules

import (
	"container/heap"

	"dillroute/lab/record"
)

// reorderWindow is how far records may be out of order (s). They can be out of order because many goroutines write records at the
// same time.
const reorderWindow = 0.5

// reorderBuffer stores records until no earlier one can arrive, and returns them in order of time.
type reorderBuffer struct {
	waiting recordHeap
	latest  float64 // time of the latest record (Unix seconds)
	serial  uint64  // number of records added
}

func (b *reorderBuffer) add(r record.Record) {
	b.serial++
	heap.Push(&b.waiting, waitingRecord{Record: r, serial: b.serial})
	b.latest = max(b.latest, r.T)
}

// nextDue removes and returns the earliest record, unless an earlier one may still arrive; it then returns false.
func (b *reorderBuffer) nextDue() (record.Record, bool) {
	if len(b.waiting) == 0 || b.waiting[0].T >= b.latest-reorderWindow {
		return record.Record{}, false
	}
	return b.next()
}

// next removes and returns the earliest record; it returns false if there is none.
func (b *reorderBuffer) next() (record.Record, bool) {
	if len(b.waiting) == 0 {
		return record.Record{}, false
	}
	return heap.Pop(&b.waiting).(waitingRecord).Record, true
}

// waitingRecord is a record in the buffer. The serial preserves the order of records with the same time.
type waitingRecord struct {
	record.Record
	serial uint64
}

// recordHeap is a heap ordered by time. A sorted slice is too slow, because each insertion moves all later records: at 20,000 records
// a second the checker used more CPU time than the system under test.
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
