package window

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// The watermark never passes an open number and never lags behind a settled one. The
// model is the set of open numbers.
func TestWatermarkIsTheLowestOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New()
		var open []uint64
		next := uint64(1)
		lowest := func() uint64 {
			low := next
			for _, seq := range open {
				low = min(low, seq)
			}
			return low
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				seq, low := w.Open()
				if seq != next {
					t.Fatalf("number %d, want %d", seq, next)
				}
				next++
				open = append(open, seq)
				if low != lowest() || low > seq {
					t.Fatalf("low %d of number %d, want %d", low, seq, lowest())
				}
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				w.Close(open[i])
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				if w.Low() != lowest() || w.Count() != len(open) {
					t.Fatalf("low %d count %d, want %d %d", w.Low(), w.Count(), lowest(), len(open))
				}
				if len(w.closed) > int(next-lowest()) {
					t.Fatalf("%d numbers remembered", len(w.closed))
				}
			},
		})
	})
}
