package demand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/work"
)

// TestDemandAgainstOracle compares the sums after random reports with a direct count. It guards
// against demand that is counted for its own entry, twice, or after it has expired: an entry that is
// suspended, cut off or dead must free its share within MaxAge.
func TestDemandAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type reported struct {
			at   time.Duration
			work float64
		}
		var table Table
		oracle := map[string]reported{}
		now := time.Second
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond
			entry := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "entry"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				table.Remove(entry)
				delete(oracle, entry)
			case 1:
				late := now - time.Duration(rapid.IntRange(1, 300).Draw(t, "late"))*time.Millisecond
				table.Record(late, entry, []work.Demand{{Contract: 1, Work: 100}})
				if o, found := oracle[entry]; !found || o.at <= late {
					oracle[entry] = reported{late, 100}
				}
			default:
				amount := float64(rapid.IntRange(0, 9).Draw(t, "work"))
				table.Record(now, entry, []work.Demand{{Contract: 1, Work: amount}})
				oracle[entry] = reported{now, amount}
			}
			sum, entries := table.Others(now, "0")
			want, wantEntries := 0.0, 0
			for name, o := range oracle {
				if name != "0" && now-o.at < MaxAge {
					want += o.work
					wantEntries++
				}
			}
			got := 0.0
			for _, d := range sum {
				got += d.Work
			}
			assert.Equal(t, got, want)
			assert.Equal(t, entries, wantEntries)
		}
	})
}

// TestSumsAreBounded: contracts beyond the 16th are summed in the last row with the least urgent
// priority, so that no work is lost and none counts as more urgent than it is.
func TestSumsAreBounded(t *testing.T) {
	var table Table
	for e := range 2 {
		var rows []work.Demand
		for c := range work.MaxDemands {
			rows = append(rows, work.Demand{Contract: uint32(100*e + c + 1), Priority: c % 5, Work: 1, Jobs: 1})
		}
		table.Record(0, fmt.Sprint(e), rows)
	}
	sum, entries := table.Others(0, "receiver")
	assert.Equal(t, entries, 2)
	assert.Equal(t, len(sum), work.MaxDemands)
	last, jobs := sum[work.MaxDemands-1], 0
	for _, d := range sum {
		jobs += d.Jobs
	}
	assert.Equal(t, jobs, 2*work.MaxDemands)
	assert.Equal(t, last.Contract, uint32(0))
	assert.Equal(t, last.Priority, 4)
}

// A late job of a contract must not hide the slack of those that can still start in time.
func TestSlackIsThatOfJobsInTime(t *testing.T) {
	var table Table
	table.Record(0, "a", []work.Demand{{Contract: 1, Slack: 0, WaitingMilli: 1}})
	table.Record(0, "b", []work.Demand{{Contract: 1, Slack: 30 * time.Millisecond}})
	sum, _ := table.Others(0, "")
	assert.Equal(t, sum[0].Slack, 30*time.Millisecond)
}

// Guards against memory that grows with every entry whose last message was recorded after its session
// had ended.
func TestExpiredReportsAreRemoved(t *testing.T) {
	var table Table
	for e := range 100 {
		table.Record(time.Duration(e)*MaxAge, fmt.Sprint(e), nil)
	}
	assert.Equal(t, len(table.reports), 1)
}
