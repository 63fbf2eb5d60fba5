package quota

import (
	"testing"
	"time"

	"almondstand.dev/contract"
)

// BenchmarkAdmitOnLeases measures an admission and its undo, with all threads on one client, at an
// entry that depends on leases from seven others.
func BenchmarkAdmitOnLeases(b *testing.B) {
	c := contract.Contract{Client: client, State: contract.Active, Rate: contract.MaxRate, Burst: contract.MaxBurst,
		InFlight: contract.MaxInFlight, AnswerTime: contract.Duration(20 * time.Second)}
	r := newSimulation(8, c)
	r.admitted(10, 0, loadPattern{tasks: 1000, every: 5 * time.Millisecond, at: []string{"e0"}})
	table, now := r.tables["e0"], r.now
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if d := table.Admit(now, client, 1); d.OK {
				d.Undo()
			}
		}
	})
}
