package uplink

import (
	"almondstand.dev/dispatch/work"
	"almondstand.dev/guard/demand"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// recordDemand records the demand by contract that a message of the entry carries.
func (s *session) recordDemand(m *wirev1.AttachResponse) {
	if !s.up.opt.SharedDemand {
		return
	}
	now, rows := uptime.Now(), work.MergeDemands(fleetwire.FromDemands(m.GetDemand()))
	s.up.demandMu.Lock()
	s.up.demand.Record(now, s.owner.Entry, rows)
	s.up.demandMu.Unlock()
	urgent, found := demand.MostUrgent(rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgent = nil
	if found {
		s.urgent, s.urgentAt = &urgent, now
	}
}

// MostUrgent implements advertise.Session. Like the sums, it does not include demand that is older than
// demand.MaxAge.
func (s *session) MostUrgent() (d work.Demand, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.urgent == nil || uptime.Now()-s.urgentAt >= demand.MaxAge {
		return work.Demand{}, false
	}
	return *s.urgent, true
}

// othersDemand returns the demand of all entries but one, and the number of the entries that it
// covers.
func (u *Uplink) othersDemand(entry string) ([]*wirev1.ContractDemand, int) {
	if !u.opt.SharedDemand {
		return nil, 0
	}
	u.demandMu.Lock()
	defer u.demandMu.Unlock()
	rows, entries := u.demand.Others(uptime.Now(), entry)
	return fleetwire.ToDemands(rows), entries
}

// removeDemand removes the demand of an entry whose session has ended.
func (u *Uplink) removeDemand(entry string) {
	u.demandMu.Lock()
	defer u.demandMu.Unlock()
	u.demand.Remove(entry)
}
