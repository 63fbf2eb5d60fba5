package harness

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/node"
)

// An entry of a cluster runs with the product's defaults wherever a test asks for
// nothing else. Written from a zero value, its settings said a floor of 0: with
// other entries keeping the guards full, a new one started nothing and its jobs
// passed their answer time.
func TestEntriesRunWithDefaults(t *testing.T) {
	c := &Cluster{options: Options{Dir: t.TempDir(), Zones: []string{"a"}}, storeAddr: "127.0.0.1:4"}
	e := &Entry{ID: "entry-1", Callers: "127.0.0.1:1", Internal: "127.0.0.1:2", Operators: "127.0.0.1:3"}
	assert.NilError(t, c.writeEntrySettings(e, 0, []string{e.Internal}))
	s, err := node.Load(e.file)
	assert.NilError(t, err)
	want := node.Default()
	want.ID, want.DataCentre, want.Listen, want.Advertise = s.ID, s.DataCentre, s.Listen, s.Advertise
	want.Platform.Addresses, want.Peers.Seeds, want.Peers.Secret = s.Platform.Addresses, s.Peers.Seeds, s.Peers.Secret
	want.Operators = s.Operators
	assert.Assert(t, reflect.DeepEqual(s, want), "%+v\n%+v", s, want)
}
