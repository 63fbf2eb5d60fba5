package planner

import (
	"slices"
	"time"
)

// SetCordons replaces the cordoned data centres: their endpoints get no starts, and what runs there
// goes on. It returns the endpoints that it changes.
func (p *Planner) SetCordons(dataCentres []string) (changed []string) {
	p.cordons = make(map[string]bool, len(dataCentres))
	for _, dc := range dataCentres {
		p.cordons[dc] = true
	}
	for _, e := range p.endpoints {
		if cordoned := p.cordons[e.dataCentre]; cordoned != e.cordoned {
			e.cordoned = cordoned
			changed = append(changed, e.id)
		}
	}
	slices.Sort(changed)
	return changed
}

// endCordoned ends the waiting jobs that no endpoint outside the cordoned data centres could run:
// their callers would wait in vain.
func (p *Planner) endCordoned(now time.Duration, s *service) {
	if len(p.cordons) == 0 || p.inStartupGrace(now) {
		return
	}
	for _, j := range slices.Concat(s.unstarted, s.started) {
		if s.fits(j) != fitsCordoned {
			continue
		}
		if j.started {
			p.end(now, j, Expired, ReasonCordoned)
		} else {
			p.refuse(now, j, ReasonCordoned)
		}
	}
}

// hasAlternative reports whether another endpoint may take over a run of the given one.
func (s *service) hasAlternative(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool { return o != e && !o.cordoned })
}
