package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/guard/ledger"
	wirev1 "almondstand.dev/wire/wirev1"
)

const (
	incarnation = 7
	lease       = 10 * time.Second
	// The limits are low, so that test runs reach them.
	maxRecords        = 10
	maxSessionRecords = 6
	maxResultBytes    = 2000
	maxSessions       = 6
	// fixedSeed and fixedChecks make a run repeatable; -rapid.seed selects another seed.
	fixedSeed   = "4711"
	fixedChecks = "2000"
)

const (
	waiting          = wirev1.TaskState_TASK_STATE_WAITING
	running          = wirev1.TaskState_TASK_STATE_RUNNING
	finished         = wirev1.TaskState_TASK_STATE_FINISHED
	never            = wirev1.TaskState_TASK_STATE_NEVER_STARTED
	unknown          = wirev1.TaskState_TASK_STATE_UNKNOWN_SESSION
	wrongIncarnation = wirev1.TaskState_TASK_STATE_WRONG_INCARNATION
	settled          = wirev1.TaskState_TASK_STATE_SETTLED
	cancelled        = wirev1.RefusalReason_REFUSAL_REASON_CANCELLED
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
		_ = flag.Set("rapid.checks", fixedChecks)
	}
	os.Exit(m.Run())
}

func newLedger(maxBytes int64) *ledger.Ledger {
	var created int
	return ledger.New(ledger.Options{
		Incarnation:       incarnation,
		Lease:             lease,
		MaxSessions:       maxSessions,
		MaxEntrySessions:  2,
		MaxRecords:        maxRecords,
		MaxSessionRecords: maxSessionRecords,
		MaxResultBytes:    maxBytes,
		NewSessionID: func() string {
			created++
			return fmt.Sprint("session-", created)
		},
	})
}

type key struct {
	session string
	seq     uint64
}

// oracle checks the ledger from outside, by the answers that callers got and the tasks that
// started.
type oracle struct {
	ledger *ledger.Ledger
	now    time.Time
	// sessions holds the ids in the order of their Hello, including those that have ended.
	sessions         []string
	entryOf          map[string]string
	newest           map[string]uint64
	tasks            map[key]*ledger.Task
	order            []key
	startCount       map[key]int
	markedNotStarted map[key]bool
	toldNeverStarted map[key]bool
	// recorded holds the starts of which the ledger must have a record until they are settled.
	recorded  map[key]bool
	ended     map[string]bool
	watermark map[string]uint64
	lastSeen  map[string]time.Time
	stopped   map[key]bool
}

// checkReport checks a report on a start and records it.
func (o *oracle) checkReport(t *rapid.T, k key, report *wirev1.TaskReport) {
	switch report.GetState() {
	case never:
		o.toldNeverStarted[k] = true
		o.recorded[k] = true
		if o.startCount[k] > 0 && !o.markedNotStarted[k] {
			t.Fatalf("%v: said never started after it began", k)
		}
	case waiting, running, finished:
		o.recorded[k] = true
		if o.toldNeverStarted[k] {
			t.Fatalf("%v: %v after never started", k, report.GetState())
		}
		if o.ended[k.session] {
			t.Fatalf("%v: %v from a session that has ended", k, report.GetState())
		}
		if k.seq < o.watermark[k.session] {
			t.Fatalf("%v: %v below the watermark", k, report.GetState())
		}
	case unknown:
		o.ended[k.session] = true
	}
	if report.GetState() != unknown && o.now.Sub(o.lastSeen[k.session]) > lease {
		t.Fatalf("%v: %v after the lease expired", k, report.GetState())
	}
	o.lastSeen[k.session] = o.now
}

// recordCounts returns the number of records that each session must have.
func (o *oracle) recordCounts() map[string]int {
	n := map[string]int{}
	for k := range o.recorded {
		if k.seq >= o.watermark[k.session] && !o.ended[k.session] {
			n[k.session]++
		}
	}
	return n
}

// drawRef draws a start to ask about, sometimes with a raised watermark.
func (o *oracle) drawRef(t *rapid.T) (key, ledger.Ref) {
	if len(o.sessions) == 0 {
		t.Skip("no session")
	}
	recent := o.sessions[max(0, len(o.sessions)-maxSessions):]
	k := key{rapid.SampledFrom(recent).Draw(t, "session"), rapid.Uint64Range(1, 9).Draw(t, "seq")}
	r := ledger.Ref{Session: k.session, Seq: k.seq, Incarnation: incarnation}
	if rapid.IntRange(0, 9).Draw(t, "raise") == 0 {
		r.LowWatermark = rapid.Uint64Range(1, 9).Draw(t, "low")
	}
	return k, r
}

// checkAnswer checks one answer together with the watermark that its request carried.
func (o *oracle) checkAnswer(t *rapid.T, k key, r ledger.Ref, a ledger.Answer, err error) {
	if err != nil {
		assert.ErrorIs(t, err, ledger.ErrFull)
		full := o.ledger.Stats().Records == maxRecords || o.recordCounts()[k.session] == maxSessionRecords
		assert.Assert(t, full, "refused although the limits are not reached")
		o.lastSeen[k.session] = o.now
		return
	}
	if a.Report.GetState() != unknown {
		o.watermark[k.session] = max(o.watermark[k.session], r.LowWatermark)
	}
	o.checkReport(t, k, a.Report)
}

func (o *oracle) drawTask(t *rapid.T) key {
	if len(o.order) == 0 {
		t.Skip("no task")
	}
	return rapid.SampledFrom(o.order).Draw(t, "task")
}

func (o *oracle) hello(t *rapid.T) {
	entry := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry")
	version := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	id, err := o.ledger.Hello(o.now, entry, version)
	if err != nil {
		assert.ErrorIs(t, err, ledger.ErrStaleEntry)
		assert.Assert(t, version < o.newest[entry])
		return
	}
	if version > o.newest[entry] {
		o.dropEntry(entry)
	}
	o.newest[entry] = version
	o.entryOf[id] = entry
	o.sessions = append(o.sessions, id)
	o.lastSeen[id] = o.now
}

// dropEntry expects every session of an older incarnation to be ended.
func (o *oracle) dropEntry(entry string) {
	for _, id := range o.sessions {
		if o.entryOf[id] == entry {
			o.ended[id] = true
		}
	}
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"hello": o.hello,
		"start": func(t *rapid.T) {
			k, r := o.drawRef(t)
			a, err := o.ledger.Admit(o.now, r, nil)
			o.checkAnswer(t, k, r, a, err)
			if a.Admitted {
				assert.Assert(t, o.tasks[k] == nil, "%v admitted twice", k)
				o.tasks[k] = a.Task
				o.order = append(o.order, k)
			}
		},
		"resolve": func(t *rapid.T) {
			k, r := o.drawRef(t)
			a, err := o.ledger.Resolve(o.now, r)
			o.checkAnswer(t, k, r, a, err)
		},
		"cancel": func(t *rapid.T) {
			k, r := o.drawRef(t)
			a, err := o.ledger.Cancel(o.now, r)
			o.checkAnswer(t, k, r, a, err)
			if a.Report.GetState() == running {
				assert.Assert(t, o.stopped[k], "%v still runs after its cancel", k)
			}
		},
		"wrong incarnation": func(t *rapid.T) {
			_, r := o.drawRef(t)
			r.Incarnation++
			a, err := o.ledger.Admit(o.now, r, nil)
			assert.NilError(t, err)
			assert.Equal(t, a.Report.GetState(), wrongIncarnation)
		},
		"begin": func(t *rapid.T) {
			k := o.drawTask(t)
			if !o.ledger.Begin(o.now, o.tasks[k], func() { o.stopped[k] = true }) {
				return
			}
			o.startCount[k]++
			assert.Equal(t, o.startCount[k], 1, "%v began twice", k)
			assert.Assert(t, !o.toldNeverStarted[k], "%v began after never started", k)
			assert.Assert(t, !o.ended[k.session], "%v began in a session that has ended", k)
			assert.Assert(t, o.now.Sub(o.lastSeen[k.session]) <= lease, "%v began after the lease", k)
			assert.Assert(t, k.seq >= o.watermark[k.session], "%v began below the watermark", k)
		},
		"refuse": func(t *rapid.T) { o.ledger.Reject(o.tasks[o.drawTask(t)], cancelled) },
		"disown": func(t *rapid.T) {
			k := o.drawTask(t)
			if o.ledger.MarkNotStarted(o.tasks[k], cancelled) {
				o.markedNotStarted[k] = true
			}
		},
		"finish": func(t *rapid.T) {
			k := o.drawTask(t)
			payload := rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "payload")
			if o.ledger.Finish(o.tasks[k], &wirev1.Result{Ok: true, Payload: payload}) {
				assert.Equal(t, o.startCount[k], 1)
				assert.Equal(t, string(o.tasks[k].Report().GetResult().GetPayload()), string(payload))
			}
		},
		"time": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
		},
		"expire": func(*rapid.T) { o.ledger.Expire(o.now) },
		"": func(t *rapid.T) {
			s := o.ledger.Stats()
			assert.Assert(t, s.Records <= maxRecords && s.Sessions <= maxSessions && s.ResultBytes <= maxResultBytes, "%+v", s)
			for session, n := range o.recordCounts() {
				assert.Assert(t, n <= maxSessionRecords, "%s has %d records", session, n)
			}
			for k, task := range o.tasks {
				if task.Report().GetState() == never && o.startCount[k] > 0 {
					assert.Assert(t, o.markedNotStarted[k], "%v", k)
				}
			}
		},
	}
}

// Starts, their copies, resolves, cancels, watermarks, expired leases and new incarnations
// arrive in any order. No start begins twice, none begins after a caller was told that it
// never started (nor the other way round), and an ended session stays ended.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			ledger:           newLedger(maxResultBytes),
			now:              time.Unix(1000, 0),
			entryOf:          map[string]string{},
			newest:           map[string]uint64{},
			tasks:            map[key]*ledger.Task{},
			startCount:       map[key]int{},
			markedNotStarted: map[key]bool{},
			toldNeverStarted: map[key]bool{},
			recorded:         map[key]bool{},
			ended:            map[string]bool{},
			watermark:        map[string]uint64{},
			lastSeen:         map[string]time.Time{},
			stopped:          map[key]bool{},
		}
		t.Repeat(o.actions())
		// Watermarks above all sequence numbers leave no records behind.
		for _, id := range o.sessions {
			o.ledger.Ping(o.now, ledger.Ref{Session: id, Incarnation: incarnation, LowWatermark: 1 << 60})
		}
		s := o.ledger.Stats()
		assert.Equal(t, s.Records, 0)
		assert.Equal(t, s.ResultBytes, int64(0))
	})
}

// Guards against a false "never started" when many results are kept: an entry whose reply was
// lost and that resolves late must be told that the task ran and that its result was dropped.
func TestDroppedResultStillSaysItRan(t *testing.T) {
	l := newLedger(1500)
	now := time.Unix(1000, 0)
	id, err := l.Hello(now, "a", 1)
	assert.NilError(t, err)
	for seq := uint64(1); seq <= 3; seq++ {
		a, err := l.Admit(now, ledger.Ref{Session: id, Seq: seq, Incarnation: incarnation}, nil)
		assert.NilError(t, err)
		assert.Assert(t, l.Begin(now, a.Task, func() {}))
		assert.Assert(t, l.Finish(a.Task, &wirev1.Result{Ok: true, Payload: make([]byte, 100)}))
		assert.Equal(t, len(a.Task.Report().GetResult().GetPayload()), 100)
	}
	first, err := l.Resolve(now, ledger.Ref{Session: id, Seq: 1, Incarnation: incarnation})
	assert.NilError(t, err)
	assert.Equal(t, first.Report.GetState(), finished)
	assert.Equal(t, first.Report.GetResult().GetFailure(), wirev1.FailureCode_FAILURE_CODE_RESULT_DROPPED)
	last, err := l.Resolve(now, ledger.Ref{Session: id, Seq: 3, Incarnation: incarnation})
	assert.NilError(t, err)
	assert.Assert(t, last.Report.GetResult().GetOk())
	below, err := l.Resolve(now, ledger.Ref{Session: id, Seq: 3, Incarnation: incarnation, LowWatermark: 4})
	assert.NilError(t, err)
	assert.Equal(t, below.Report.GetState(), settled)
}

// Guards against a false "ran": the guard gave up on a call to the runner, which may never
// have started the task. If that result is evicted as well, an entry that resolves late must
// be told only what is known, not that the task ran.
func TestEvictedFailureKeepsItsCode(t *testing.T) {
	l := newLedger(1500)
	now := time.Unix(1000, 0)
	id, err := l.Hello(now, "a", 1)
	assert.NilError(t, err)
	lost := &wirev1.Result{Failure: wirev1.FailureCode_FAILURE_CODE_RUNNER_LOST, Message: "connection broke"}
	for seq := uint64(1); seq <= 6; seq++ {
		a, err := l.Admit(now, ledger.Ref{Session: id, Seq: seq, Incarnation: incarnation}, nil)
		assert.NilError(t, err)
		assert.Assert(t, l.Begin(now, a.Task, func() {}))
		result := lost
		if seq > 1 {
			result = &wirev1.Result{Ok: true, Payload: make([]byte, 100)}
		}
		assert.Assert(t, l.Finish(a.Task, result))
	}
	for seq, want := range map[uint64]wirev1.FailureCode{
		1: wirev1.FailureCode_FAILURE_CODE_RUNNER_LOST, 2: wirev1.FailureCode_FAILURE_CODE_RESULT_DROPPED,
	} {
		a, err := l.Resolve(now, ledger.Ref{Session: id, Seq: seq, Incarnation: incarnation})
		assert.NilError(t, err)
		assert.Assert(t, a.Task == nil, "its result is still kept")
		assert.Equal(t, a.Report.GetState(), finished)
		assert.Equal(t, a.Report.GetResult().GetFailure(), want)
	}
}
