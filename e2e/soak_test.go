package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/soak"
)

// regressionSeeds are run every time: one with planned operations only, and one for each fault
// that the soak test has found.
var regressionSeeds = []struct {
	seed   uint64
	reason string
}{
	{5, "planned operations only: no request may be cut, a configuration is in force within 2 s"},
	{2, "a guard's stream to an entry went silent, and the entry never got runners again; later with callers that leave, " +
		"a guard reported that a run never started, and started it: tasks ran twice once their job was resubmitted"},
	{11, "the same faults with another cause of the first: no recovery"},
	{1001, "a stop order was lost with a session: tasks ran on, and ran twice once their job was resubmitted"},
}

// Guards against duplicate runs, exceeded capacity, false "not run" answers and missing
// recovery under overlapping faults. Each seed that ever failed is run again.
func TestSoakSeeds(t *testing.T) {
	for _, k := range regressionSeeds {
		t.Run(fmt.Sprint(k.seed), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{Binaries: binaries, Dir: t.TempDir(), Seed: k.seed, Length: 8 * time.Second})
			assert.NilError(t, err, "%s\n%s", k.reason, report.Text())
		})
	}
}

// The schedule depends on the seed alone.
func TestSoakScheduleRepeats(t *testing.T) {
	assert.DeepEqual(t, soak.Schedule(7, 8*time.Second), soak.Schedule(7, 8*time.Second))
}
