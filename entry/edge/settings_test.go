package edge

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that takes over jobs because of an impossible number of cores.
func TestImpossibleCoresAreRejected(t *testing.T) {
	for cores, valid := range map[float64]bool{0: true, 0.144: true, 64: true, -0.1: false, 1025: false, math.Inf(1): false, math.NaN(): false} {
		f := Default()
		f.Capacity.Host.Cores = cores
		assert.Equal(t, len(f.Check()) == 0, valid, "%v", cores)
	}
}
