package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log that grows with the callers who are rejected.
func TestRejectionsAreLoggedOnceASecond(t *testing.T) {
	var r rejections
	began := time.Now()
	var records, jobs int
	for i := range 301 {
		if count, record := r.note(began.Add(time.Duration(i) * 10 * time.Millisecond)); record {
			records++
			jobs += count
		}
	}
	assert.Equal(t, records, 4)
	assert.Equal(t, jobs, 301)
}
