package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reports that lack the output of processes that were restarted.
func TestNodeKeepsOlderProcesses(t *testing.T) {
	n := &Node{ID: "node", binary: "echo"}
	for _, output := range []string{"first", "second"} {
		n.args = []string{output}
		assert.NilError(t, n.Start())
		<-n.Process().Done()
	}
	all := n.Processes()
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].FullLog(), "first\n")
	assert.Equal(t, all[1].FullLog(), "second\n")
	assert.Equal(t, n.Process(), all[1])
}
