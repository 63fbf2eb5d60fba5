package e2e

import (
	"testing"
	"time"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/standin/store"
)

// Guards against an entry that, after it was suspended, takes that time for a time in which the
// store and its peers were silent.
func TestSuspendedEntryRejectsNobody(t *testing.T) {
	const suspended, between = 1700 * time.Millisecond, 700 * time.Millisecond
	parallel(t)
	c, _ := startCluster(t, harness.Options{Entries: 3, Guards: 2, EntrySettings: shortTimeouts})
	v := underLoad(t, c, c.Entries, func() {
		c.Store.SetMode(store.CloseConnections)
		c.Store.CloseWatches()
		for range 5 {
			c.Entries[0].Suspend()
			time.Sleep(suspended)
			c.Entries[0].Resume()
			time.Sleep(between)
		}
		c.Store.SetMode(store.Up)
	})
	assertAllComplete(t, v)
}
