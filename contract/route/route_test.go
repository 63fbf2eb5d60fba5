package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a job that is taken over under the terms of another contract.
func TestByNameReturnsNoAmbiguousContract(t *testing.T) {
	own := &Contract{Name: "own", Host: "h.example", Prefix: "/a/"}
	table := NewTable(1, Limits{}, []*Contract{own, {Name: "same", Prefix: "/b/"}, {Name: "same", Prefix: "/c/"}, {Name: "same", Prefix: "/d/"}})
	assert.Equal(t, table.ByName("own"), own)
	assert.Assert(t, table.ByName("same") == nil)
	assert.Assert(t, table.ByName("none") == nil)
}
