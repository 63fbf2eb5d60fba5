package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/wire/wirev1"
)

// discardSink discards the fleet's endpoint updates; the tests read the fleet's own list.
type discardSink struct{}

func (discardSink) SetEndpoint(string, scheduler.Endpoint)                     {}
func (discardSink) RemoveEndpoint(string, scheduler.EndpointID)                {}
func (discardSink) ApplyReport(string, scheduler.EndpointID, scheduler.Report) {}

// withFleet gives an entry a real fleet.
func withFleet(t *testing.T) func(*entry) BareSource {
	return func(e *entry) BareSource {
		f := fleet.New(fleet.Options{
			EntryID: e.info.ID, Incarnation: e.info.Incarnation, DataCentre: e.info.DataCentre, Sink: discardSink{},
			OnChange: func(urgent bool) { e.peers.RequestRound(urgent) },
		})
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = f.Run(ctx) })
		t.Cleanup(func() {
			stop()
			running.Wait()
		})
		return f
	}
}

func (e *entry) fleet() *fleet.Fleet { return e.bare.(*fleet.Fleet) }

// endpointState returns what the entry knows of its only endpoint.
func (e *entry) endpointState() (known, usable bool) {
	for _, s := range e.fleet().Endpoints() {
		return true, s.Usable
	}
	return false, false
}

func allEntries(all []*entry, known, usable bool) bool {
	for _, e := range all {
		if k, u := e.endpointState(); k != known || u != usable {
			return false
		}
	}
	return true
}

// A runner announces itself through a load balancer, so only one entry receives the
// announcement. That it is leaving reaches another entry, once, just before the runner
// exits. Without an immediate gossip round every other entry would keep sending it work
// until its announcement expired. The notice must reach all entries well before the next
// regular round.
func TestLeavingReachesEveryEntry(t *testing.T) {
	s := newStore(t)
	var all []*entry
	for i := range 6 {
		all = append(all, newEntry(t, s, fmt.Sprint("e", i), options{bare: withFleet(t), interval: time.Minute}))
	}
	eventually(t, "all have joined", func() bool {
		for _, e := range all {
			if len(e.members.Live()) != len(all) || e.peers.starting(time.Now()) {
				return false
			}
		}
		return true
	})
	// Each entry makes one more round at the startup interval, and none after that.
	time.Sleep(2 * startInterval)
	runner := fleet.BareAnnouncement{Service: "teardown", Address: "127.0.0.1:9", Slots: 8, Connections: 64, TTL: 30 * time.Second}

	_, err := all[0].fleet().AnnounceBare(time.Now(), runner)
	assert.NilError(t, err)
	eventually(t, "all know the runner", func() bool { return allEntries(all, true, true) })
	runner.Leaving = true
	_, err = all[1].fleet().AnnounceBare(time.Now(), runner)
	assert.NilError(t, err)

	eventually(t, "no entry uses the runner", func() bool { return allEntries(all, true, false) })
}

// The message saying that a runner is leaving is lost, or its response is. The runner
// has exited and won't repeat it, so the entry must resend: sending the notice does not
// mean that the peer received it.
func TestLeavingIsResent(t *testing.T) {
	now := time.Now()
	leaving := []*wirev1.BareEndpoint{{Service: "teardown", Address: "127.0.0.1:9", Leaving: true, Stamp: 2}}
	s := &peerState{bare: map[string]uint64{}}
	assert.Equal(t, len(s.unsentBare(now, leaving)), 1)
	assert.Equal(t, len(s.unsentBare(now.Add(time.Second), leaving)), 1)
	assert.Equal(t, len(s.unsentBare(now.Add(leavingResendPeriod), leaving)), 0)

	staying := []*wirev1.BareEndpoint{{Service: "teardown", Address: "127.0.0.1:8", Stamp: 1}}
	lost := s.unsentBare(now, staying)
	assert.Equal(t, len(s.unsentBare(now, staying)), 0)
	s.markUnsent(lost)
	assert.Equal(t, len(s.unsentBare(now, staying)), 1)
}

// Constantly changing demand must not multiply the traffic between entries: early rounds
// are allowed in a burst, and after that one every two seconds.
func TestEarlyRoundsAreBounded(t *testing.T) {
	e := newEarlyRounds()
	start := time.Now()
	rounds := 0
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		if wait, drop := e.reserve(start.Add(at)); wait == 0 && !drop {
			rounds++
		}
	}
	assert.Assert(t, rounds >= 10 && rounds <= 10+earlyBurst, "%d", rounds)

	// The notice that an endpoint is leaving is delayed only by the minimum gap between
	// rounds.
	e.urgent.Store(true)
	last := start.Add(20 * time.Second)
	wait, drop := e.reserve(last.Add(time.Hour))
	assert.Assert(t, wait == 0 && !drop)
	wait, drop = e.reserve(last.Add(time.Hour + earlyMinGap/2))
	assert.Assert(t, wait == earlyMinGap/2 && !drop, "%s", wait)
}
