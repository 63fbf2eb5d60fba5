package sessions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract/cordon"
)

// Guards against a guard that goes by what an entry which has ended sent it last: each entry
// repeats what it knows, and sends a change with its next message.
func TestCordonIsRepeated(t *testing.T) {
	var n cordonNotice
	assert.Assert(t, n.next(0, nil, "a") == nil, "nothing is known yet")
	open, closed := cordon.New(5, nil), cordon.New(6, []string{"a"})
	first := n.next(time.Second, open, "a")
	assert.Equal(t, first.GetRevision(), int64(5))
	assert.Assert(t, !first.GetCordoned())
	assert.Assert(t, n.next(time.Second+time.Millisecond, open, "a") == nil)
	assert.Assert(t, n.next(time.Second+2*time.Millisecond, closed, "a").GetCordoned())
	assert.Assert(t, n.next(time.Second+3*time.Millisecond, closed, "a") == nil)
	again := n.next(2*time.Second+2*time.Millisecond, cordon.New(9, []string{"a"}), "a")
	assert.Equal(t, again.GetRevision(), int64(9))
	assert.Assert(t, again.GetCordoned())
}
