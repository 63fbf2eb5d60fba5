package lag

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against a lag that outlasts its cause, and against one that counts delays of times that reuse
// the place of the current one.
func TestMeanCoversRecentDelaysOnly(t *testing.T) {
	const ms = time.Millisecond
	var d Delays
	assert.Equal(t, d.Mean(time.Second), time.Duration(0))
	d.Observe(1000*ms, 30*ms)
	d.Observe(1060*ms, 10*ms)
	d.Observe(1060*ms, -5*ms)
	assert.Equal(t, d.Mean(1140*ms), 40*ms/3)
	assert.Equal(t, d.Mean(1210*ms), 5*ms)
	assert.Equal(t, d.Mean(1260*ms), time.Duration(0))
	d.Observe(2000*ms, 2*ms)
	assert.Equal(t, d.Mean(2000*ms), 2*ms)
}

// Guards against spare processor time that is claimed before it was measured or without a known number of
// cores.
func TestSpareProcessorTime(t *testing.T) {
	var u Usage
	for i := range usageSamples {
		assert.Equal(t, u.SpareMilli(0.8), 0)
		u.Observe(time.Duration(i+1)*probeInterval, time.Duration(i)*probeInterval/4)
	}
	assert.Equal(t, u.SpareMilli(0.8), 550)
	assert.Equal(t, u.UsedPermille(0.5), 500)
	assert.Equal(t, u.SpareMilli(0), 0)
	assert.Equal(t, u.UsedPermille(0), 0)
	assert.Equal(t, u.UsedPermille(0.1), 1000)
}

// Guards against a lag that leaves out one kind of event.
func TestRecentLagCoversAllEvents(t *testing.T) {
	for name, observe := range map[string]func(*Meter){
		"requests": func(m *Meter) { m.ObserveRequest(30 * time.Millisecond) },
		"messages": func(m *Meter) { m.ObserveMessage(30 * time.Millisecond) },
		"orders":   func(m *Meter) { m.ObserveSend(1, 30*time.Millisecond) },
	} {
		m := New(tally.NoopScope, slog.New(slog.DiscardHandler), 0)
		observe(m)
		assert.Equal(t, m.Recent(), 30*time.Millisecond, name)
	}
}

func BenchmarkRecent(b *testing.B) {
	m := New(tally.NoopScope, slog.New(slog.DiscardHandler), 0)
	for b.Loop() {
		m.ObserveRequest(time.Millisecond)
		_ = m.Recent()
	}
}
