package endpoints

import "maps"

// StartTimes translates the start times of engines into times of the node's own clock, which is never stepped. A source
// reports them by a wall clock that all machines are meant to share.
//
// If the machine's wall clock was stepped after the node had started, the two clocks differ and it is unknown which one is
// right. An engine cannot have started in the future, and of two possible ages the lower one counts: if it is wrong, the engine
// is only in slow start for too long. If the wall clock was ahead when the node started, both ages are too high; this is detected
// when a start that looks old was missing from the source's last response. StartTimes is not safe for concurrent use.
type StartTimes struct{ records map[string]startRecord }

// startRecord is one start of an engine, by both clocks.
type startRecord struct {
	reported  float64 // start time by the shared wall clock, as the source reported it
	local     float64 // start time by the node's own clock
	removedAt float64 // when the engine was removed; 0 = it is listed. It may be listed again without a restart
}

// maxReportDelay is the time within which a source reports a start (s). The source notices an engine some seconds after it has
// started, and its report counts as notified at most 6 s later.
const maxReportDelay = 15

// NewStartTimes returns start times without any engine.
func NewStartTimes() *StartTimes { return &StartTimes{records: map[string]startRecord{}} }

// LocalTime returns when an engine started by the node's own clock. now is the current time by the node's clock and wall by the
// wall clock. A start that was reported before keeps its local time. lastResponse is when the source last responded without
// this start; 0 = never. A start time of 0, reported or returned, means long ago.
func (s *StartTimes) LocalTime(id string, reported, now, wall, lastResponse float64) float64 {
	if reported <= 0 {
		delete(s.records, id)
		return 0
	}
	if record, ok := s.records[id]; ok && record.reported == reported {
		record.removedAt = 0
		s.records[id] = record
		return record.local
	}
	record := startRecord{reported: reported, local: now - maxAge(reported, now, wall, lastResponse)}
	s.records[id] = record
	return record.local
}

// maxAge returns the age of a start (s): the lower of its ages by the two clocks, or 0 if the source had not reported the start when it
// should have.
func maxAge(reported, now, wall, lastResponse float64) float64 {
	age := now - reported
	wallAge := wall - reported
	if age < 0 || wallAge >= 0 && wallAge < age {
		age = wallAge
	}
	if lastResponse > 0 && age > now-lastResponse+maxReportDelay {
		return 0 // the engine had not started then: the clocks are wrong by an unknown amount
	}
	return max(0, age)
}

// Retain removes all engines that are not in listed, a complete list by id.
func (s *StartTimes) Retain(listed map[string]string, now float64) {
	for id := range s.records {
		if _, ok := listed[id]; !ok {
			s.Remove(id, now)
		}
	}
	s.forgetRemoved(now)
}

// Remove records that an engine was removed. Its start is remembered for a while, because an engine that was removed during a
// network partition is listed again with the same start.
func (s *StartTimes) Remove(id string, now float64) {
	if record, ok := s.records[id]; ok && record.removedAt == 0 {
		record.removedAt = now
		s.records[id] = record
	}
	s.forgetRemoved(now)
}

// forgetRemoved drops engines that were removed long ago.
func (s *StartTimes) forgetRemoved(now float64) {
	maps.DeleteFunc(s.records, func(_ string, record startRecord) bool {
		return record.removedAt > 0 && now > record.removedAt+removedRetention
	})
}
