package uplink

import (
	"almondstand.dev/guard/runs"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// sendProgress makes the session send the progress reports that are due at once.
func (s *session) sendProgress() {
	s.mu.Lock()
	s.progressDue = true
	s.mu.Unlock()
	notify(s.wake)
}

// takeProgress returns the progress reports for the message that is to be sent now; sending is false
// if there is none without them. A session that has been replaced takes none: its entry ignores
// them, and they would be missing on the newer one.
func (s *session) takeProgress(sending bool) []*wirev1.RunProgress {
	s.mu.Lock()
	sending = sending || s.progressDue
	s.progressDue = false
	s.mu.Unlock()
	if !sending || !s.up.serves(s) {
		return nil
	}
	var m []*wirev1.RunProgress
	for _, p := range s.up.host.Progress(s.owner) {
		m = append(m, wireProgress(p))
	}
	return m
}

func wireProgress(p runs.Progress) *wirev1.RunProgress {
	return &wirev1.RunProgress{
		Task:    fleetwire.ToTaskName(p.Run.Task),
		Attempt: uint32(p.Run.Attempt),
		Percent: uint32(p.Percent),
		LeftUs:  p.Left.Microseconds(),
		Stalled: p.Stalled,
	}
}
