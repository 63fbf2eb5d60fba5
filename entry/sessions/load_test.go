package sessions

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/handover"
	entryhandover "almondstand.dev/entry/handover"
	"almondstand.dev/entry/jobs"
	"almondstand.dev/entry/lag"
	"almondstand.dev/wire/wirev1"
)

// Guards against jobs that are sent to an entry that does not know its processor time, and against an
// entry that is short of processor time and does not ask for the others.
func TestLoadOfAnEntry(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	meter := lag.New(tally.NoopScope, logger, 0)
	e := jobs.New(jobs.Options{Logger: logger, Scope: tally.NoopScope, Lag: meter.Recent, HandOver: entryhandover.NewClient(entryhandover.ClientOptions{})})
	s := New(Options{Logger: logger, Lag: meter}, e, &fakeMembers{})
	l, wants := s.load()
	assert.Assert(t, l == nil && !wants)
	meter.ObserveRequest(50 * time.Millisecond)
	_, wants = s.load()
	assert.Assert(t, wants)
}

// Guards against foreign loads: invalid addresses are left out, and the number is bounded.
func TestForeignLoadsAreLeftOut(t *testing.T) {
	list := []*wirev1.EntryLoad{{Address: "nowhere", SpareMilli: 9}, {Address: "10.0.0.2:7", SpareMilli: 300, LagMs: 2}}
	assert.DeepEqual(t, loadsOf(list), []handover.Load{{Address: "10.0.0.2:7", SpareMilli: 300, Lag: 2 * time.Millisecond}})
	for range 100 {
		list = append(list, list[1])
	}
	assert.Assert(t, len(loadsOf(list)) < maxSpareEntries)
}
