package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log volume that grows with the number of rejected jobs.
func TestRejectionsAreLoggedOnceASecond(t *testing.T) {
	var r rejections
	start := time.Now()
	var records, jobs int
	for i := range 301 {
		if count, shouldLog := r.observe(start.Add(time.Duration(i) * 10 * time.Millisecond)); shouldLog {
			records++
			jobs += count
		}
	}
	assert.Equal(t, records, 4)
	assert.Equal(t, jobs, 301)
}
