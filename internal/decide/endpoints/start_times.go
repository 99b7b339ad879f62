package endpoints

import "maps"

// StartTimes turns the times at which engines started, as the source of the list tells them by a clock that all machines are to read,
// into times of the node's own clock, which is never stepped. The two differ where the machine's wall clock was stepped after the
// node had started. Which of the two is right is not known: an engine cannot have started in the future, and of two ages that can be,
// the lesser one errs on the side of slow start. Where the wall clock was ahead when the node started both are too old; a start that
// the source did not have when it was last heard tells so. It is not safe for concurrent use.
type StartTimes struct{ records map[string]start }

// start is when an engine started, as it was told and by the node's clock.
type start struct {
	told, own float64
	goneAt    float64 // when the engine had gone; 0 = it has not. It may come back without a new start
}

// NewStartTimes returns a memory that knows no start.
func NewStartTimes() *StartTimes { return &StartTimes{records: map[string]start{}} }

// LocalTime returns when an engine started by the node's own clock, which shows now, while the wall clock shows wall; a start that was told
// before stays where it was. absent is when the source was last heard without this start; 0 = never. 0 stands for long ago.
func (s *StartTimes) LocalTime(id string, told, now, wall, absent float64) float64 {
	if told <= 0 {
		delete(s.records, id)
		return 0
	}
	if k, ok := s.records[id]; ok && k.told == told {
		k.goneAt = 0
		s.records[id] = k
		return k.own
	}
	k := start{told: told, own: now - age(told, now, wall, absent)}
	s.records[id] = k
	return k.own
}

// age is how old an engine is at the most.
func age(told, now, wall, absent float64) float64 {
	age, other := now-told, wall-told
	if age < 0 || other >= 0 && other < age {
		age = other
	}
	if absent > 0 && age > now-absent+maxReportDelay {
		return 0 // it was not there then: the clocks are wrong, and by how much is not known
	}
	return max(0, age)
}

// maxReportDelay is how late a source may tell of a start (s): it notices an engine some seconds after it has come, and what it has to tell
// counts as told 6 s later at the latest.
const maxReportDelay = 15

// Retain is told the engines of a whole list, by id: all others have gone.
func (s *StartTimes) Retain(listed map[string]string, now float64) {
	for id := range s.records {
		if _, ok := listed[id]; !ok {
			s.Remove(id, now)
		}
	}
	s.forget(now)
}

// Remove is told that an engine has gone. It is remembered for a while: one that was cut off comes back with the start that it had.
func (s *StartTimes) Remove(id string, now float64) {
	if k, ok := s.records[id]; ok && k.goneAt == 0 {
		k.goneAt = now
		s.records[id] = k
	}
	s.forget(now)
}

// forget drops engines that have gone long ago.
func (s *StartTimes) forget(now float64) {
	maps.DeleteFunc(s.records, func(_ string, k start) bool { return k.goneAt > 0 && now > k.goneAt+removedRetention })
}
