package cordon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that takes what it doesn't know for "no data centre is cordoned".
func TestUnknownIsNotEmpty(t *testing.T) {
	var unknown *Set
	empty := New(7, nil)
	assert.Assert(t, !unknown.Contains("a") && !empty.Contains("a"))
	assert.Assert(t, !unknown.Same(empty) && !empty.Same(unknown))
	assert.Assert(t, empty.Newer(unknown) && !unknown.Newer(empty))
}

// Guards against an older set that undoes a newer one, in either direction.
func TestOnlyHigherRevisionsAreNewer(t *testing.T) {
	cordoned, empty := New(5, []string{"b", "a"}), New(5, nil)
	assert.Assert(t, !empty.Newer(cordoned) && !cordoned.Newer(empty))
	assert.Assert(t, New(6, nil).Newer(cordoned) && !New(4, nil).Newer(cordoned))
	assert.Assert(t, cordoned.Same(New(9, []string{"a", "b"})))
	assert.DeepEqual(t, cordoned.DataCentres(), []string{"a", "b"})
}
