package quota

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/contract"
	"almondstand.dev/wire/wirev1"
)

// TestMain fixes the random seed and lengthens the runs, unless flags on the command line override
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260101", "rapid.steps": "60", "rapid.checks": "400"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const client = "zagreb"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testContract() contract.Contract {
	return contract.Contract{
		Client: client, State: contract.Active, Rate: 100, Burst: 40, InFlight: 30,
		AnswerTime: contract.Duration(2 * time.Second),
	}
}

func newTable(n int) *Table { return newNamedTable("", n) }

func newNamedTable(name string, n int) *Table {
	t := New(Options{Self: name, Jitter: func() float64 { return 0 }})
	t.SetEntries(start, n)
	t.SetContracts(start, testContract())
	return t
}

// bucket is the test oracle: the whole contract as one token bucket and one count of tasks in
// flight.
type bucket struct {
	rate, burst, tokens float64
	last                time.Time
	ends                []ending
}

type ending struct {
	at    time.Time
	tasks int
}

func (b *bucket) admit(now time.Time, tasks int, end time.Time) (tokens float64, inFlight int) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens -= float64(tasks)
	b.ends = append(b.ends, ending{at: end, tasks: tasks})
	for _, e := range b.ends {
		if e.at.After(now) {
			inFlight += e.tasks
		}
	}
	return b.tokens, inFlight
}

// message is a reply with loans in transit.
type message struct {
	from, to string
	loans    []*wirev1.Loan
	askedAt  time.Time
}

// request is a call with demands in transit.
type request struct {
	from, to string
	demands  []*wirev1.Demand
	askedAt  time.Time
}

// cluster simulates entries that exchange leases. Messages may be lost, late, duplicated or
// reordered, and entries may be paused.
type cluster struct {
	names      []string
	tables     map[string]*Table
	resumeAt   map[string]time.Time
	suspended  map[string]bool
	now        time.Time
	oracle     bucket
	requests   []request
	replies    []message
	admissions []admission
}

type admission struct {
	entry string
	at    time.Time
	free  func()
}

func newCluster(n int) *cluster {
	c := testContract()
	m := &cluster{tables: map[string]*Table{}, resumeAt: map[string]time.Time{}, suspended: map[string]bool{}, now: start}
	m.oracle = bucket{rate: c.Rate, burst: float64(c.Burst), tokens: float64(c.Burst), last: start}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		m.names = append(m.names, name)
		m.tables[name] = newNamedTable(name, n)
	}
	return m
}

func (m *cluster) frozen(name string) bool { return m.now.Before(m.resumeAt[name]) }

func (m *cluster) pickRunning(t *rapid.T, label string) string {
	name := rapid.SampledFrom(m.names).Draw(t, label)
	if m.frozen(name) {
		t.Skip("frozen")
	}
	return name
}

func (m *cluster) admit(t *rapid.T) {
	m.submit(t, m.pickRunning(t, "entry"), rapid.IntRange(1, 30).Draw(t, "tasks"))
}

// submitMax submits as much as one entry admits.
func (m *cluster) submitMax(t *rapid.T) {
	m.submitAll(t, m.pickRunning(t, "entry"))
}

func (m *cluster) submitAll(t *rapid.T, name string) {
	for _, tasks := range []int{20, 10, 5, 3, 2, 1, 1, 1} {
		m.submit(t, name, tasks)
	}
}

func (m *cluster) submit(t *rapid.T, name string, tasks int) {
	d := m.tables[name].Admit(m.now, client, tasks)
	if !d.OK {
		return
	}
	end := m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 1999}).Draw(t, "run")) * time.Millisecond)
	m.admissions = append(m.admissions, admission{entry: name, at: end, free: d.Release})
	tokens, inFlight := m.oracle.admit(m.now, tasks, end)
	if tokens < -roundingSlack*float64(len(m.names)) {
		t.Fatalf("rate and burst exceeded: %v tokens left", tokens)
	}
	if inFlight > testContract().InFlight {
		t.Fatalf("%d tasks in flight", inFlight)
	}
}

// exchange calls a peer and draws what happens to the reply.
func (m *cluster) exchange(t *rapid.T) {
	asker, lessor := m.pickRunning(t, "asker"), m.pickRunning(t, "lender")
	if asker == lessor {
		t.Skip("itself")
	}
	r := m.ask(t, asker, lessor)
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "late", "lost", "arrives and again later"}).Draw(t, "fate")
	if strings.HasPrefix(fate, "arrives") && !m.frozen(asker) {
		m.tables[asker].AcquireLeases(m.now, lessor, r.loans, r.askedAt)
	}
	if strings.HasSuffix(fate, "late") || strings.HasSuffix(fate, "later") {
		m.replies = append(m.replies, r)
	}
}

func (m *cluster) ask(t *rapid.T, asker, lessor string) message {
	demand := m.tables[asker].Demands(m.now, lessor)
	askedAt := m.now
	m.wait(rapid.SampledFrom([]int{0, 0, 1, 300, 900}).Draw(t, "way"))
	loans := m.tables[lessor].GrantLeases(m.now, asker, demand)
	return message{from: lessor, to: asker, loans: loans, askedAt: askedAt}
}

// send sends a demand that is delivered later: once, several times or never.
func (m *cluster) send(t *rapid.T) {
	asker, lessor := m.pickRunning(t, "asker"), rapid.SampledFrom(m.names).Draw(t, "lender")
	if asker == lessor {
		t.Skip("itself")
	}
	demands := m.tables[asker].Demands(m.now, lessor)
	m.requests = append(m.requests, request{from: asker, to: lessor, demands: demands, askedAt: m.now})
}

// arrive delivers a demand, sometimes to a different entry than intended.
func (m *cluster) arrive(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")
	r := m.requests[i]
	at := rapid.SampledFrom([]string{r.to, r.to, m.pickRunning(t, "instead")}).Draw(t, "at")
	if m.frozen(at) || at == r.from {
		t.Skip("frozen, or itself")
	}
	loans := m.tables[at].GrantLeases(m.now, r.from, r.demands)
	m.replies = append(m.replies, message{from: at, to: r.from, loans: loans, askedAt: r.askedAt})
	if rapid.Bool().Draw(t, "once") {
		m.requests = append(m.requests[:i], m.requests[i+1:]...)
	}
}

// collect lets one entry submit more than its share and lease from all others.
func (m *cluster) collect(t *rapid.T) {
	asker := m.pickRunning(t, "asker")
	m.submitAll(t, asker)
	for _, lessor := range m.names {
		if lessor != asker && !m.frozen(lessor) {
			r := m.ask(t, asker, lessor)
			m.tables[asker].AcquireLeases(m.now, lessor, r.loans, r.askedAt)
		}
	}
	m.submitAll(t, asker)
}

func (m *cluster) deliver(t *rapid.T) {
	if len(m.replies) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
	r := m.replies[i]
	if m.frozen(r.to) {
		t.Skip("frozen")
	}
	m.tables[r.to].AcquireLeases(m.now, r.from, r.loans, r.askedAt)
	if rapid.Bool().Draw(t, "once") {
		m.replies = append(m.replies[:i], m.replies[i+1:]...)
	}
}

func (m *cluster) freeze(t *rapid.T) {
	name := m.pickRunning(t, "entry")
	m.resumeAt[name] = m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "for")) * time.Millisecond)
}

// suspend suspends the share of one entry, or resumes it.
func (m *cluster) suspend(t *rapid.T) {
	name := m.pickRunning(t, "entry")
	m.suspended[name] = !m.suspended[name]
	m.tables[name].SetShare(m.now, Share{Entries: len(m.names), Holding: !m.suspended[name], Suspended: m.suspended[name]})
}

func (m *cluster) advance(t *rapid.T) {
	m.wait(rapid.SampledFrom([]int{1, 100, 400, 1000, 1500, 2100}).Draw(t, "pass"))
}

func (m *cluster) wait(ms int) {
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	kept := m.admissions[:0]
	for _, h := range m.admissions {
		if h.at.After(m.now) || m.frozen(h.entry) {
			kept = append(kept, h)
			continue
		}
		h.free()
	}
	m.admissions = kept
}

func (m *cluster) check(t *rapid.T) {
	var sum amounts
	for _, name := range m.names {
		s := m.tables[name].Statuses(m.now)[0]
		sum = sum.plus(amounts{s.Rate, s.Burst, s.InFlight})
	}
	c := testContract()
	whole := amounts{c.Rate, float64(c.Burst), float64(c.InFlight)}
	if sum.minus(whole).max(amounts{1e-6, 1e-6, 1e-6}) != (amounts{1e-6, 1e-6, 1e-6}) {
		t.Fatalf("shares add up to %+v of %+v", sum, whole)
	}
}

// A client submits at several entries concurrently while replies with loans are lost, late,
// duplicated and reordered, and entries are paused and resumed. The sum over the entries must
// never exceed the contract: neither the shares, nor the rate including the burst, nor the tasks
// in flight.
func TestSharesNeverExceedTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCluster(rapid.IntRange(2, 5).Draw(t, "entries"))
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "pump": m.submitMax, "gather": m.collect, "exchange": m.exchange, "deliver": m.deliver,
			"send": m.send, "arrive": m.arrive, "arrive soon": m.arrive, "deliver soon": m.deliver,
			"freeze": m.freeze, "suspend": m.suspend, "resume": m.suspend, "pass": m.advance, "": m.check,
		})
	})
}

// rounds runs a complete exchange between all entries every second, and calls submit every 100 ms.
func rounds(tables map[string]*Table, seconds int, submit func(now time.Time)) {
	now := start
	for range seconds {
		for asker, a := range tables {
			for lessor, l := range tables {
				if asker != lessor {
					a.AcquireLeases(now, lessor, l.GrantLeases(now, asker, a.Demands(now, lessor)), now)
				}
			}
		}
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			submit(now)
		}
	}
}

// All of a client's load arrives at one of four entries, in jobs of five tasks. After a few
// seconds that entry must get at least 90 % of the contract's rate.
func TestBatchedLoadAtOneEntryGetsContractRate(t *testing.T) {
	m := newCluster(4)
	admitted := 0
	rounds(m.tables, 30, func(now time.Time) {
		for range 4 {
			d := m.tables["e0"].Admit(now, client, 5)
			if !d.OK {
				continue
			}
			d.Release()
			if now.Sub(start) > 5*time.Second {
				admitted += 5
			}
		}
	})
	assert.Assert(t, float64(admitted) >= 0.9*100*25, "admitted %d in 25 s at 100 a second", admitted)
}

// A job as large as the whole burst arrives at one of four entries, each of which holds a quarter.
// It is rejected at first, and must be admitted when it is retried after the returned delay.
func TestJobAsLargeAsTheBurst(t *testing.T) {
	m := newCluster(4)
	c := testContract()
	c.InFlight = c.Burst
	for _, table := range m.tables {
		table.SetContracts(start, c)
	}
	refused, admitted := 0, 0
	again := start
	rounds(m.tables, 5, func(now time.Time) {
		if admitted > 0 || now.Before(again) {
			return
		}
		d := m.tables["e0"].Admit(now, client, c.Burst)
		assert.Assert(t, !d.Permanent)
		if d.OK {
			admitted++
			return
		}
		refused++
		again = now.Add(d.RetryAfter)
	})
	assert.Equal(t, admitted, 1, "refused %d times", refused)
	assert.Assert(t, refused <= 3, "refused %d times", refused)
}

func TestRefusals(t *testing.T) {
	table := newTable(1)
	assert.Assert(t, table.Admit(start, client, 41).Permanent, "over the burst")
	assert.Assert(t, table.Admit(start, client, 31).Permanent, "over the tasks in flight")
	unknown := table.Admit(start, "nobody", 1)
	assert.Assert(t, !unknown.OK && !unknown.Permanent && unknown.RetryAfter > 0)

	first := table.Admit(start, client, 20)
	assert.Assert(t, first.OK)
	busy := table.Admit(start, client, 20)
	assert.Assert(t, !busy.OK && busy.RetryAfter > 0)
	first.Release()
	first.Release()
	assert.Equal(t, table.Statuses(start)[0].Used, 0)

	assert.Assert(t, table.Admit(start, client, 20).OK)
	one := table.Admit(start, client, 10)
	two := table.Admit(start, client, 10)
	assert.Equal(t, one.RetryAfter, 100*time.Millisecond)
	assert.Equal(t, two.RetryAfter, 200*time.Millisecond, "refused jobs come back one after the other")
	assert.Assert(t, table.Admit(start.Add(100*time.Millisecond), client, 10).OK)
}
