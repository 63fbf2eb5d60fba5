package contracts_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/contracts"
	"almondstand.dev/standin/store"
)

// contractCount is the number of contracts the system is designed for.
const contractCount = 310

// fullEntry returns an entry that holds all contracts with their full history.
func fullEntry(b *testing.B) (*store.Server, *testEntry) {
	b.Helper()
	s, err := store.Serve()
	assert.NilError(b, err)
	b.Cleanup(s.Close)
	node := newTestEntryTimeout(b, s, 2*time.Second)
	for version := range contracts.MaxHistory + 1 {
		for i := range contractCount {
			c := sample(fmt.Sprintf("team-%03d", i), float64(1+version))
			_, err := node.writer.Apply(b.Context(), c, anyRevision)
			assert.NilError(b, err)
		}
	}
	return s, node
}

func BenchmarkByToken(b *testing.B) {
	_, node := fullEntry(b)
	digest := tokenDigest("token of team-100")
	b.ResetTimer()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			node.registry.ByToken(digest)
		}
	})
}

// BenchmarkChange measures one entry's work to apply one change received from a peer. It
// also reports the size of one change and of all contracts.
func BenchmarkChange(b *testing.B) {
	_, node := fullEntry(b)
	snapshot := node.registry.Snapshot()
	all := 0
	for _, record := range snapshot {
		all += len(record.Value)
	}
	fresh := make([]*contracts.Registry, b.N)
	for i := range fresh {
		fresh[i] = contracts.New(contracts.Options{})
		fresh[i].Merge(snapshot[1:])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range fresh {
		fresh[i].Merge(snapshot[:1])
	}
	b.ReportMetric(float64(len(snapshot[0].Value)), "B/change")
	b.ReportMetric(float64(all), "B/all")
}

// BenchmarkRepair deletes all contracts from the store under four running entries and
// waits until the store holds them again; it reports the number of writes.
func BenchmarkRepair(b *testing.B) {
	s, first := fullEntry(b)
	first.run(b)
	for range 3 {
		newTestEntryTimeout(b, s, 2*time.Second).run(b)
	}
	b.ResetTimer()
	for range b.N {
		before := s.Counts()["txn"]
		for key := range first.registry.HeldRevisions() {
			s.Delete(key)
		}
		for key := range first.registry.HeldRevisions() {
			for value, _ := s.Value(key); value == nil; value, _ = s.Value(key) {
				time.Sleep(time.Millisecond)
			}
		}
		b.ReportMetric(float64(s.Counts()["txn"]-before), "writes")
	}
}
