package e2e

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/entry/node"
	"almondstand.dev/guard/config"
	"almondstand.dev/settings"
)

// The ping budget allows no idle session to be kept alive, and jobs come rarely: shortly before
// a session expires, at that moment, shortly after, and long after, when its connection is
// closed too. A start sent on an expired session would end as unknown though it never ran; one
// resent after that would run twice.
func TestRareJobsOnExpiredSessions(t *testing.T) {
	parallelPerCPU(t)
	const lease = time.Second
	c, client := startCluster(t, harness.Options{
		Entries: 2, Guards: 3,
		EntrySettings: func(s *node.Settings) { s.Fleet.PingBytesPerSecond = 1 },
		GuardSettings: func(s *config.Settings) { s.SessionLease = settings.Duration(lease) },
	})
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 24 {
		idle := lease*6/10 + time.Duration(random.Int64N(int64(lease)*6/10))
		if i%8 == 7 {
			idle = 5 * lease
		}
		time.Sleep(idle)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		a, err := client.Run(ctx, c.Entries[i%2].Callers, numberedJobs(i))
		stop()
		assert.NilError(t, err)
		assert.Assert(t, a.OK(), "%d %+v", a.Status, a.Error)
	}
	assert.Equal(t, c.Starts().Duplicates, 0)
}
