package harness

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/node"
)

// An entry of a cluster runs with the default settings except where a test overrides
// them. Settings written from a zero value had a MinInFlight of 0: while other entries kept
// the guards at capacity, a new entry started no tasks and its jobs exceeded their answer time.
func TestEntriesRunWithDefaults(t *testing.T) {
	c := &Cluster{options: Options{Dir: t.TempDir(), DataCentres: []string{"a"}}, storeAddr: "127.0.0.1:4"}
	e := &Entry{ID: "entry-1", Callers: "127.0.0.1:1", Internal: "127.0.0.1:2", Operators: "127.0.0.1:3"}
	assert.NilError(t, c.writeEntrySettings(e, 0, []string{e.Internal}))
	s, err := node.Load(e.settingsFile)
	assert.NilError(t, err)
	want := node.Default()
	want.ID, want.DataCentre, want.Listen, want.Advertise = s.ID, s.DataCentre, s.Listen, s.Advertise
	want.Platform.Addresses, want.Peers.Seeds, want.Peers.Secret = s.Platform.Addresses, s.Peers.Seeds, s.Peers.Secret
	want.Operators = s.Operators
	assert.Assert(t, reflect.DeepEqual(s, want), "%+v\n%+v", s, want)
}
