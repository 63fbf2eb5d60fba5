package sessions

import (
	"time"

	"almondstand.dev/dispatch/handover"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

const (
	// spareUnit is what the reported spare processor time is rounded down to, in thousandths of a
	// core. Less than that is reported as none.
	spareUnit = 10
	// maxSpareEntries bounds how many of a guard's entries are read. Guards list four.
	maxSpareEntries = 8
)

// load returns the load of this entry for a message; nil if it takes over no jobs. wantsSpare reports
// whether this entry needs the loads of others.
func (s *Server) load() (l *wirev1.EntryLoad, wantsSpare bool) {
	wantsSpare = s.jobs.WantsSpareEntries()
	spare := s.opt.Lag.SpareMilli() / spareUnit * spareUnit
	if spare == 0 || !s.jobs.TakesJobs() {
		return nil, wantsSpare
	}
	return &wirev1.EntryLoad{LagMs: uint32(s.opt.Lag.Recent().Milliseconds()), SpareMilli: uint32(spare)}, wantsSpare
}

// loadsOf converts the loads that a guard lists. An entry whose address is invalid is left out.
func loadsOf(entries []*wirev1.EntryLoad) []handover.Load {
	var loads []handover.Load
	for _, e := range entries[:min(len(entries), maxSpareEntries)] {
		address, err := fleetwire.EntryAddress(e.GetAddress())
		if err != nil {
			continue
		}
		loads = append(loads, handover.Load{
			Address:    address,
			Lag:        time.Duration(e.GetLagMs()) * time.Millisecond,
			SpareMilli: int(e.GetSpareMilli()),
		})
	}
	return loads
}
