package burn_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/entry/burn"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

const bucket = 30 * time.Second

// TestMain sets a fixed seed, so that every run checks the same cases. The flag
// -rapid.seed on the command line overrides it, since flags are parsed later.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func counts(onTime, late, failed, within, over uint64) burn.Counts {
	return burn.Counts{onTime, late, failed, within, over}
}

func TestBurnRate(t *testing.T) {
	c := counts(990, 4, 3, 3, 500)
	assert.Equal(t, c.Answers(), uint64(1000))
	assert.Equal(t, c.Ratio(burn.Late), 0.004)
	assert.Assert(t, abs(c.BurnRate(0.99)-1) < 1e-9)
	assert.Assert(t, abs(c.BurnRate(0.999)-10) < 1e-9)
	assert.Equal(t, c.BurnRate(0), 0.0)
	assert.Equal(t, burn.Counts{}.BurnRate(0.99), 0.0)
}

func abs(v float64) float64 { return max(v, -v) }

func TestQuantileWithinAFifth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(60*time.Second)).Draw(t, "latency"))
		r := burn.NewRecorder(start)
		r.Record(start, burn.Observation{Client: "a", Latency: d})
		got := r.Snapshot(start, "e", nil, false).Clients[0].Latency.Quantile(0.99)
		// A bound exceeds the latency by a factor of at most the square root of 2.
		assert.Assert(t, got >= d-time.Microsecond && float64(got) <= 1.4143*float64(d), "%s for %s", got, d)
	})
}

// recordedObservation is an observation and when it was recorded.
type recordedObservation struct {
	at time.Duration
	o  burn.Observation
}

// oracle counts the observations in a window by definition: a window consists of
// whole buckets and includes the one being filled.
func oracle(observations []recordedObservation, client string, now, window time.Duration) burn.Counts {
	var sum burn.Counts
	last := now / bucket
	first := last - window/bucket + 1
	for _, s := range observations {
		if e := s.at / bucket; s.o.Client == client && e >= first && e <= last {
			sum[s.o.Outcome]++
		}
	}
	return sum
}

// TestWindowsAgainstOracle records observations at two entries over up to a day or
// more: the windows of the merged snapshots equal the sums over a plain list, whatever
// the gaps between observations.
func TestWindowsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorders := []*burn.Recorder{burn.NewRecorder(start), burn.NewRecorder(start)}
		var observations []recordedObservation
		var now time.Duration
		gaps := []time.Duration{0, time.Second, 29 * time.Second, bucket, 5 * time.Minute, time.Hour, 6 * time.Hour, 7 * time.Hour}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom(gaps).Draw(t, "pause")
			o := burn.Observation{
				Client:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
				Outcome: burn.Outcome(rapid.IntRange(0, 4).Draw(t, "kind")),
				Latency: time.Millisecond,
			}
			recorders[rapid.IntRange(0, 1).Draw(t, "entry")].Record(start.Add(now), o)
			observations = append(observations, recordedObservation{now, o})
		}
		target := []burn.Target{{Client: "a", Objective: 0.9}, {Client: "b", Objective: 0.9}}
		merged, err := burn.Merge(
			recorders[0].Snapshot(start.Add(now), "e1", target, true),
			recorders[1].Snapshot(start.Add(now), "e2", target, true))
		assert.NilError(t, err)
		assert.Equal(t, len(merged.Clients), 2)
		for _, c := range merged.Clients {
			for i, p := range burn.WindowPairs {
				assert.Equal(t, c.Windows[2*i], oracle(observations, c.Name, now, p.Short), "%s short", p.Name)
				assert.Equal(t, c.Windows[2*i+1], oracle(observations, c.Name, now, p.Long), "%s long", p.Name)
			}
			var total burn.Counts
			for _, point := range c.Series {
				total.Add(point)
			}
			assert.Equal(t, total, oracle(observations, c.Name, now, burn.BudgetWindow))
		}
	})
}

func TestMergeUsesTheNewestContract(t *testing.T) {
	r := burn.NewRecorder(start)
	older := r.Snapshot(start, "e1", []burn.Target{{Client: "a", Objective: 0.9, Revision: 3}}, false)
	newer := r.Snapshot(start, "e2", []burn.Target{{Client: "a", Objective: 0.99, Revision: 4}}, false)
	for _, order := range [][]burn.Snapshot{{older, newer}, {newer, older}} {
		merged, err := burn.Merge(order...)
		assert.NilError(t, err)
		assert.Equal(t, merged.Clients[0].Objective, 0.99)
		assert.DeepEqual(t, merged.Entries, []string{"e1", "e2"})
	}
	_, err := burn.Merge(burn.Snapshot{Clients: []burn.ClientCounts{{Name: "a"}}})
	assert.ErrorIs(t, err, burn.ErrSnapshotFormat)
}

func report(t *testing.T) burn.Report {
	t.Helper()
	r := burn.NewRecorder(start)
	record := func(client string, outcome burn.Outcome, n int) {
		for range n {
			r.Record(start, burn.Observation{Client: client, Outcome: outcome, Latency: 40 * time.Millisecond})
		}
	}
	record("broken", burn.Failed, 1)
	record("calm<b>", burn.OnTime, 1000)
	record("burning", burn.OnTime, 80)
	record("burning", burn.Late, 20)
	s := r.Snapshot(start, "e1", []burn.Target{
		{Client: "calm<b>", Objective: 0.99}, {Client: "burning", Objective: 0.99}, {Client: "idle", Objective: 0.99},
		{Client: "broken", Objective: 0.99999},
	}, true)
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	var decoded burn.Snapshot
	assert.NilError(t, json.Unmarshal(raw, &decoded))
	return burn.NewReport(decoded, []string{"e2"})
}

func TestReportListsLeastBudgetFirst(t *testing.T) {
	rep := report(t)
	assert.Equal(t, rep.Rows[0].Customer, "broken")
	overspent := rep.Rows[1]
	assert.Equal(t, overspent.Customer, "burning")
	assert.Assert(t, overspent.Alert())
	assert.Assert(t, abs(overspent.BudgetLeft-(-19)) < 1e-9)
	assert.Assert(t, abs(overspent.Burn[0].Short-20) < 1e-9)
	for _, row := range rep.Rows[2:] {
		assert.Assert(t, !row.Alert())
		assert.Equal(t, row.BudgetLeft, 1.0)
	}
}

func TestTableAndPage(t *testing.T) {
	rep := report(t)
	var table, page bytes.Buffer
	assert.NilError(t, rep.WriteTable(&table))
	lines := strings.Split(table.String(), "\n")
	assert.Assert(t, strings.HasPrefix(lines[1], "broken") && strings.HasSuffix(lines[1], "ALERT"))
	assert.Assert(t, strings.Contains(lines[1], "99.999%") && strings.Contains(lines[1], "-9999900%"), lines[1])
	assert.Assert(t, strings.Contains(table.String(), "NOT counted, no answer: e2"))
	assert.NilError(t, rep.WriteHTML(&page))
	text := page.String()
	assert.Assert(t, strings.Contains(text, "calm&lt;b&gt;") && !strings.Contains(text, "calm<b>"))
	assert.Assert(t, !strings.Contains(text, "http") && !strings.Contains(text, "<script"), "the page must be self-contained")
	assert.Equal(t, strings.Count(text, "<svg"), 8)
}

func TestConcurrentRecording(t *testing.T) {
	r := burn.NewRecorder(start)
	const goroutines, each = 8, 1000
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range each {
				r.Record(start, burn.Observation{Client: "a"})
			}
		})
	}
	wg.Wait()
	assert.Equal(t, r.Snapshot(start, "e", nil, false).Clients[0].Windows[0].Answers(), uint64(goroutines*each))
}
