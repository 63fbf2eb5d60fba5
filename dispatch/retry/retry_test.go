package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/retry"
)

func TestBudget(t *testing.T) {
	b := retry.New(retry.Options{TokensPerCompletion: 0.25, MaxTokens: 2})
	spent := func() (n int) {
		for b.Spend() {
			n++
		}
		return n
	}
	earn := func(completions int) {
		for range completions {
			b.Earn()
		}
	}
	assert.Equal(t, spent(), 2)
	earn(3)
	assert.Equal(t, spent(), 0)
	earn(1)
	assert.Equal(t, spent(), 1)
	earn(100)
	assert.Equal(t, spent(), 2)
}
