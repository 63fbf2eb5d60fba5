package fleet

import (
	"context"
	"testing"
	"time"
)

// BenchmarkStart runs starts of a small task through one guard that answers
// immediately, with entry and guard in one process.
func BenchmarkStart(b *testing.B) {
	sink := newFakeSink()
	f := New(Options{EntryID: "e1", Incarnation: 1, Sink: sink})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g := newFakeGuard(b, "g1", 7)
	join(b, f, sink, g)
	c := callOn(g.id(), "part 4711", time.Hour)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if o := f.Start(ctx, c); !o.OK() {
				b.Errorf("%+v", o)
			}
		}
	})
}
