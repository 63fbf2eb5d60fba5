package uplink

import (
	"time"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/guard/load"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/wirev1"
)

// recordLoad records the load that a message of the entry carries, under the address at which this guard
// reaches it, and whether the entry wants the loads of others.
func (s *session) recordLoad(m *wirev1.AttachResponse) {
	s.mu.Lock()
	s.wantsSpare = m.GetWantsSpareEntries()
	s.mu.Unlock()
	l := handover.Load{
		Address:    s.link.address,
		Lag:        time.Duration(m.GetLoad().GetLagMs()) * time.Millisecond,
		SpareMilli: int(m.GetLoad().GetSpareMilli()),
	}
	s.up.loadMu.Lock()
	defer s.up.loadMu.Unlock()
	s.up.loads.Record(uptime.Now(), s.owner.Entry, l)
}

// spareEntries lists the entries that can take over jobs, if the entry wants them and was not sent a list
// a moment ago. Only the sender calls it.
func (s *session) spareEntries(now time.Duration) []*wirev1.EntryLoad {
	s.mu.Lock()
	due := s.wantsSpare && now-s.spareSent >= load.ListInterval
	if due {
		s.spareSent = now
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	s.up.loadMu.Lock()
	defer s.up.loadMu.Unlock()
	var m []*wirev1.EntryLoad
	for _, l := range s.up.loads.Spare(now, s.owner.Entry) {
		m = append(m, &wirev1.EntryLoad{Address: l.Address, LagMs: uint32(l.Lag.Milliseconds()), SpareMilli: uint32(l.SpareMilli)})
	}
	return m
}

// removeLoad removes the load of an entry whose session has ended.
func (u *Uplink) removeLoad(entry string) {
	u.loadMu.Lock()
	defer u.loadMu.Unlock()
	u.loads.Remove(entry)
}
