package turns

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGuardsGetTheirTurns guards against demand that guards without a run hear only with the heartbeats,
// against messages that grow with the number of guards, and against guards that get no turn. Tasks that
// wait on and off must not make the queue grow.
func TestGuardsGetTheirTurns(t *testing.T) {
	for _, c := range []struct {
		guards, least, most int
		waits               func(ms int) bool
	}{
		{5, 19, 20, func(int) bool { return true }},
		{60, 4, 5, func(int) bool { return true }},
		{60, 1, 5, func(ms int) bool { return ms/17%2 == 0 }},
		{60, 0, 0, func(int) bool { return false }},
	} {
		t.Run(fmt.Sprint(c.guards, " ", c.least), func(t *testing.T) {
			var q Queue
			turns, sent := make([]Turn, c.guards), make([]time.Duration, c.guards)
			counts, total := make([]int, c.guards), 0
			for ms := 1000; ms < 4000; ms++ {
				now := time.Duration(ms) * time.Millisecond
				for i := range turns {
					if !turns[i].Due(now, sent[i], c.waits(ms), &q) {
						continue
					}
					assert.Assert(t, now-sent[i] >= Interval)
					sent[i] = now
					counts[i]++
					total++
				}
				assert.Assert(t, q.last <= now+Interval+time.Duration(c.guards)*Slot, "the queue grows")
			}
			for _, n := range counts {
				assert.Assert(t, n >= c.least && n <= c.most, "%v", counts)
			}
			assert.Assert(t, total <= 301, "%d", total)
		})
	}
}

// TestTurnsOfEndedSessionsDoNotAddUp guards against demand that no guard without a run is sent for minutes,
// because guards whose connections broke again and again have reserved a turn with each session.
func TestTurnsOfEndedSessionsDoNotAddUp(t *testing.T) {
	var q Queue
	now := time.Second
	for range 30_000 {
		var ended Turn
		ended.Due(now, now, true, &q)
	}
	var turn Turn
	turn.Due(now, now, true, &q)
	assert.Assert(t, turn.In(now, time.Hour) <= Interval+maxAhead, "%v", turn.In(now, time.Hour))
}
