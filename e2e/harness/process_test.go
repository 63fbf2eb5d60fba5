package harness

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that loses its bound, or lines before it.
func TestTailBufferKeepsTheLastBytes(t *testing.T) {
	b := &tailBuffer{limit: 10}
	var all strings.Builder
	for _, text := range []string{"abc", "defghi", "jklmnopq", "r", "stuvwxyz0123456789", "A"} {
		_, err := b.Write([]byte(text))
		assert.NilError(t, err)
		all.WriteString(text)
		assert.Equal(t, b.String(), all.String()[max(all.Len()-b.limit, 0):])
		assert.Assert(t, len(b.data) <= 2*b.limit)
	}
}
