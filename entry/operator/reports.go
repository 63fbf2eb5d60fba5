package operator

import (
	"cmp"
	"net/http"
	"slices"

	"almondstand.dev/entry/burn"
	"almondstand.dev/telemetry"
)

func (s *Server) burn(w http.ResponseWriter, r *http.Request) {
	withSeries := r.URL.Query().Get("series") == "true"
	self := s.opts.Members.Self().GetId()
	writeJSON(w, http.StatusOK, s.opts.BurnRecorder.Snapshot(s.opts.Now(), self, s.targets(), withSeries))
}

func (s *Server) targets() []burn.Target {
	var targets []burn.Target
	for _, c := range s.opts.Registry.All() {
		v, found := s.versionInForce(c.Client)
		if !found {
			continue
		}
		targets = append(targets, burn.Target{
			Client:     c.Client,
			Objective:  v.Contract.Objective,
			AnswerTime: v.Contract.AnswerTime.Std(),
			Revision:   v.Revision,
		})
	}
	return targets
}

func (s *Server) control(w http.ResponseWriter, _ *http.Request) {
	usage := telemetry.ReadUsage()
	writeJSON(w, http.StatusOK, Control{
		Entry:      s.opts.Members.Self().GetId(),
		UptimeMs:   s.opts.Now().Sub(s.started).Milliseconds(),
		CPUMs:      usage.CPU.Milliseconds(),
		RSSBytes:   usage.RSS,
		Goroutines: usage.Goroutines,
		Traffic:    s.opts.TrafficMeter.Snapshot(),
	})
}

func (s *Server) entries(w http.ResponseWriter, _ *http.Request) {
	out := Entries{Entry: s.opts.Members.Self().GetId(), Entries: []Entry{}}
	for _, e := range s.opts.Members.Live() {
		out.Entries = append(out.Entries, Entry{
			ID:          e.GetId(),
			Incarnation: e.GetIncarnation(),
			DataCentre:  e.GetZone(),
			Internal:    e.GetAddress(),
			Operators:   e.GetOperators(),
			Draining:    e.GetDraining(),
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) endpoints(w http.ResponseWriter, _ *http.Request) {
	out := Endpoints{Entry: s.opts.Members.Self().GetId(), Endpoints: []Endpoint{}}
	for _, e := range s.opts.Fleet.Endpoints() {
		out.Endpoints = append(out.Endpoints, Endpoint{
			ID:         string(e.ID),
			Service:    e.Service,
			DataCentre: e.DataCentre,
			Address:    e.Address,
			Bare:       e.Bare,
			Slots:      e.Slots,
			Draining:   e.Draining,
			Usable:     e.Usable,
			InFlight:   e.InFlight,
		})
	}
	slices.SortFunc(out.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, out)
}
