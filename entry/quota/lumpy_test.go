package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
)

// loadPattern is a client's constant load: one job with the given number of tasks per interval,
// sent to the entries in turn.
type loadPattern struct {
	tasks int
	every time.Duration
	at    []string
}

// simulation runs entries that exchange once every 900 ms, each at its own offset.
type simulation struct {
	*cluster
	answers []message
}

func newSimulation(n int, c contract.Contract) *simulation {
	m := newCluster(n)
	for _, table := range m.tables {
		table.SetContracts(start, c)
	}
	return &simulation{cluster: m}
}

// admitted advances the simulation and returns the numbers of jobs submitted and admitted after
// the first seconds.
func (r *simulation) admitted(seconds, first int, o loadPattern) (offered, admitted int) {
	const step = 5 * time.Millisecond
	from := r.now
	due, jobs := from.Add(o.every), 0
	for now := from; now.Before(from.Add(time.Duration(seconds) * time.Second)); now = now.Add(step) {
		r.now = now
		r.exchanges(now, step)
		for ; !due.After(now); due = due.Add(o.every) {
			at := o.at[jobs%len(o.at)]
			jobs++
			d := r.tables[at].Admit(now, client, o.tasks)
			if d.OK {
				d.Release()
			}
			if now.Sub(from) >= time.Duration(first)*time.Second {
				offered++
				if d.OK {
					admitted++
				}
			}
		}
	}
	return offered, admitted
}

// exchanges lets each entry call all others once every 900 ms, each at its own offset. Replies
// arrive one step later.
func (r *simulation) exchanges(now time.Time, step time.Duration) {
	const pause = 900 * time.Millisecond
	for _, m := range r.answers {
		r.tables[m.to].AcquireLeases(now, m.from, m.loans, m.askedAt)
	}
	r.answers = nil
	for i, asker := range r.names {
		offset := pause * time.Duration(i) / time.Duration(len(r.names))
		if now.Sub(start.Add(offset))%pause >= step {
			continue
		}
		for _, lessor := range r.names {
			if lessor != asker {
				loans := r.tables[lessor].GrantLeases(now, asker, r.tables[asker].Demands(now, lessor))
				r.answers = append(r.answers, message{from: lessor, to: asker, loans: loans, askedAt: now})
			}
		}
	}
}

func contractOf(rate float64, burst, inFlight int) contract.Contract {
	return contract.Contract{Client: client, State: contract.Active, Rate: rate, Burst: burst, InFlight: inFlight,
		AnswerTime: contract.Duration(20 * time.Second)}
}

// All load of a contract arrives at one of several entries at regular intervals. From the fifth
// second on that entry must admit at least 90 % of what a single entry with the whole contract
// would. If shares are smaller than a job, every admission depends on leases: when they are
// requested too late, are too small, or all expire together, jobs are rejected although the
// contract allows them.
func TestLoadAtOneEntry(t *testing.T) {
	for _, c := range []struct {
		name     string
		contract contract.Contract
		tasks    int
	}{
		{"small", contractOf(500.0/310, 2, 20000), 1},
		{"small in flight", contractOf(500.0/310, 2, 2), 1},
		{"smallest", contractOf(0.2, 1, 1), 1},
		{"jobs of the burst", contractOf(10, 20, 20), 20},
		{"middle", contractOf(16, 16, 200), 5},
		{"large", contractOf(500, 500, 20000), 1},
		{"large jobs", contractOf(500, 500, 20000), 100},
	} {
		for _, load := range []float64{0.3, 0.6, 0.8, 1, 1.2} {
			every := time.Duration(float64(c.tasks) / (load * c.contract.Rate) * float64(time.Second))
			o := loadPattern{tasks: c.tasks, every: every, at: []string{"e0"}}
			seconds := max(65, int(40*every.Seconds()))
			_, whole := newSimulation(1, c.contract).admitted(seconds, 5, o)
			for _, n := range []int{2, 4, 8} {
				offered, admitted := newSimulation(n, c.contract).admitted(seconds, 5, o)
				t.Logf("%s: %v of the rate, %d entries: %d of %d, one entry: %d", c.name, load, n, admitted, offered, whole)
				assert.Check(t, float64(admitted) >= 0.9*float64(whole))
			}
		}
	}
}

// The load moves to another entry while none of its tasks is in flight. Leases of tasks in flight
// last for the answer time of 20 s: if the first entry kept its leases until they expire, the
// second would reject jobs for as long.
func TestMovedLoadIsNotBlockedByLeases(t *testing.T) {
	for _, c := range []struct {
		contract contract.Contract
		tasks    int
	}{{contractOf(500.0/310, 2, 2), 1}, {contractOf(10, 20, 20), 20}, {contractOf(16, 16, 20), 5}, {contractOf(500, 500, 500), 100}} {
		every := time.Duration(float64(c.tasks) / (0.8 * c.contract.Rate) * float64(time.Second))
		for _, n := range []int{2, 4, 8} {
			r := newSimulation(n, c.contract)
			r.admitted(40, 0, loadPattern{tasks: c.tasks, every: every, at: []string{"e0"}})
			offered, admitted := r.admitted(60, 7, loadPattern{tasks: c.tasks, every: every, at: []string{"e1"}})
			t.Logf("rate %v, %d entries: %d of %d", c.contract.Rate, n, admitted, offered)
			assert.Check(t, float64(admitted) >= 0.9*float64(offered))
		}
	}
}

// Jobs that are larger than a share, but far smaller than the contract, arrive at all of eight
// entries four times as often as the rate allows, as they do when rejected callers retry. Several
// entries must collect shares at the same time; a single one would admit only half of what the
// contract allows.
func TestSeveralEntriesCollectShares(t *testing.T) {
	r := newSimulation(8, contractOf(100, 40, 80))
	offered, admitted := r.admitted(125, 5, loadPattern{tasks: 6, every: 15 * time.Millisecond, at: r.names})
	t.Logf("%d of %d", admitted, offered)
	assert.Assert(t, admitted >= 9*100*120/6/10, "%d of 2000", admitted)
}
