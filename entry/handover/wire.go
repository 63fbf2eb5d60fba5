package handover

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/platform/ingress"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// errForeign means that a message is malformed: another program sent it, or another release of this one.
var errForeign = errors.New("handover: malformed message")

// Limits of what a message may contain, beyond those of platform/ingress.
const (
	// maxAmount is in thousandths of a core, MB or GPUs: the sum over the tasks of a job can't overflow.
	maxAmount = 1_000_000_000_000
	// maxTime is far above every deadline and run time of a task that takes less than a second.
	maxTime = 24 * time.Hour
	// maxClock is for the time since a host booted.
	maxClock = 100 * 365 * 24 * time.Hour
	// maxReasonLength is for a planner.Reason, which becomes a tag of metrics.
	maxReasonLength = 40
)

// reasonNoAnswer is the reason for the outcome of a job whose Taker failed without an answer.
const reasonNoAnswer planner.Reason = "no_answer"

// toJob converts a job to the wire type. It fails for a job that the other entry would reject, or that
// can't be encoded.
func toJob(j Job) (*wirev1.HandedJob, error) {
	if !ingress.ValidID(j.Work.ID) {
		return nil, fmt.Errorf("%w: job id %q", errForeign, j.Work.ID)
	}
	// A string that is not UTF-8 would make the whole message fail.
	valid := utf8.ValidString(j.Work.Spec) && utf8.ValidString(j.Contract)
	m := &wirev1.HandedJob{
		Id:       j.Work.ID,
		Contract: j.Contract,
		Spec:     j.Work.Spec,
		Steps:    make([]*wirev1.HandedStep, len(j.Work.Steps)),
		LeftMs:   millis(j.TimeLeft),
		WaitedMs: millis(j.Waited),

		TermsDigest: j.TermsDigest,
	}
	for i, s := range j.Work.Steps {
		valid = valid && utf8.ValidString(s.Label) && utf8.ValidString(s.DataRack)
		step := &wirev1.HandedStep{
			Count:        count(s.Count),
			Need:         fleetwire.ToAmounts(s.Need),
			DeclaredMs:   millis(s.Declared),
			Label:        s.Label,
			DataRack:     s.DataRack,
			MaxPerRunner: count(s.MaxPerRunner),
		}
		for _, a := range s.After {
			step.After = append(step.After, count(a))
		}
		m.Steps[i] = step
	}
	if !valid {
		return nil, fmt.Errorf("%w: text that is not UTF-8", errForeign)
	}
	return m, nil
}

// millis returns a time in milliseconds, rounded down; the largest value stands for longer ones, which
// are rejected.
func millis(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32)) }

func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// fromJob converts a job from the wire type, whose id is valid.
func fromJob(m *wirev1.HandedJob) (Job, error) {
	steps := m.GetSteps()
	switch {
	case m.GetContract() == "":
		return Job{}, fmt.Errorf("%w: no contract", errForeign)
	case len(m.GetSpec()) > ingress.MaxSpecBytes:
		return Job{}, fmt.Errorf("%w: specification of %d bytes", errForeign, len(m.GetSpec()))
	case len(steps) == 0 || len(steps) > ingress.MaxSteps:
		return Job{}, fmt.Errorf("%w: %d steps", errForeign, len(steps))
	}
	j := Job{
		Work:     work.Job{ID: m.GetId(), Spec: m.GetSpec(), Steps: make([]work.Step, len(steps))},
		Contract: m.GetContract(),
		TimeLeft: fromMillis(m.GetLeftMs()),
		Waited:   fromMillis(m.GetWaitedMs()),

		TermsDigest: m.GetTermsDigest(),
	}
	if j.TimeLeft <= 0 || j.TimeLeft > maxTime || j.Waited > maxTime {
		return Job{}, fmt.Errorf("%w: %s left after %s", errForeign, j.TimeLeft, j.Waited)
	}
	tasks := 0
	for i, s := range steps {
		step, err := fromStep(i, s)
		if err != nil {
			return Job{}, err
		}
		tasks += step.Count
		j.Work.Steps[i] = step
	}
	if tasks > ingress.MaxTasks {
		return Job{}, fmt.Errorf("%w: %d tasks", errForeign, tasks)
	}
	return j, nil
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func fromStep(index int, m *wirev1.HandedStep) (work.Step, error) {
	s := work.Step{
		Count:        int(m.GetCount()),
		Need:         fleetwire.FromAmounts(m.GetNeed()),
		Declared:     fromMillis(m.GetDeclaredMs()),
		Label:        m.GetLabel(),
		DataRack:     m.GetDataRack(),
		MaxPerRunner: int(m.GetMaxPerRunner()),
	}
	switch {
	case s.Count < 1 || s.Count > ingress.MaxTasks:
		return work.Step{}, fmt.Errorf("%w: step %d has %d tasks", errForeign, index, s.Count)
	case !possible(s.Need.CPUMilli) || !possible(s.Need.MemoryMB) || !possible(s.Need.GPUs):
		return work.Step{}, fmt.Errorf("%w: step %d needs %+v", errForeign, index, s.Need)
	case s.Declared > maxTime:
		return work.Step{}, fmt.Errorf("%w: step %d takes %s", errForeign, index, s.Declared)
	case len(m.GetAfter()) > ingress.MaxSteps:
		return work.Step{}, fmt.Errorf("%w: step %d comes after %d others", errForeign, index, len(m.GetAfter()))
	}
	for _, a := range m.GetAfter() {
		if int64(a) >= int64(index) {
			return work.Step{}, fmt.Errorf("%w: step %d comes after step %d", errForeign, index, a)
		}
		s.After = append(s.After, int(a))
	}
	return s, nil
}

func possible(amount int64) bool { return amount >= 0 && amount <= maxAmount }

// toAnswer converts the answer of a Taker to the wire type.
func toAnswer(id string, a planner.Answer, err error) *wirev1.HandedAnswer {
	m := &wirev1.HandedAnswer{Id: id, Reason: string(a.Reason)}
	switch {
	case errors.Is(err, ErrNotTaken):
		return &wirev1.HandedAnswer{Id: id, Outcome: wirev1.HandedOutcome_HANDED_OUTCOME_NOT_TAKEN}
	case err != nil:
		return &wirev1.HandedAnswer{Id: id, Outcome: wirev1.HandedOutcome_HANDED_OUTCOME_EXPIRED, Reason: string(reasonNoAnswer)}
	case a.Outcome == planner.Completed:
		m.Outcome = wirev1.HandedOutcome_HANDED_OUTCOME_COMPLETED
	case a.Outcome == planner.Failed:
		m.Outcome = wirev1.HandedOutcome_HANDED_OUTCOME_FAILED
	case a.Outcome == planner.Refused:
		m.Outcome = wirev1.HandedOutcome_HANDED_OUTCOME_REFUSED
		m.RetryAfterMs = millis(a.RetryAfter)
	default:
		// Tasks of a job that was cancelled may have run.
		m.Outcome = wirev1.HandedOutcome_HANDED_OUTCOME_EXPIRED
	}
	return m
}

// fromAnswer converts the answer to a job that was sent. It returns ErrNotTaken if the job was not taken,
// and an error that wraps errForeign if the message does not tell the outcome.
func fromAnswer(m *wirev1.HandedAnswer) (planner.Answer, error) {
	a := planner.Answer{Reason: planner.Reason(m.GetReason())}
	switch m.GetOutcome() {
	case wirev1.HandedOutcome_HANDED_OUTCOME_NOT_TAKEN:
		return planner.Answer{}, ErrNotTaken
	case wirev1.HandedOutcome_HANDED_OUTCOME_COMPLETED:
		a.Outcome = planner.Completed
	case wirev1.HandedOutcome_HANDED_OUTCOME_FAILED:
		a.Outcome = planner.Failed
	case wirev1.HandedOutcome_HANDED_OUTCOME_REFUSED:
		a.Outcome, a.RetryAfter = planner.Refused, fromMillis(m.GetRetryAfterMs())
	case wirev1.HandedOutcome_HANDED_OUTCOME_EXPIRED:
		a.Outcome = planner.Expired
	default:
		return planner.Answer{}, fmt.Errorf("%w: outcome %d", errForeign, m.GetOutcome())
	}
	if a.RetryAfter > maxTime || !validReason(m.GetReason()) {
		return planner.Answer{}, fmt.Errorf("%w: reason of %d bytes, retry after %s", errForeign, len(m.GetReason()), a.RetryAfter)
	}
	return a, nil
}

// validReason reports whether a text can be a planner.Reason.
func validReason(r string) bool {
	if len(r) > maxReasonLength {
		return false
	}
	for _, c := range r {
		if (c < 'a' || c > 'z') && c != '_' {
			return false
		}
	}
	return true
}

// checkClock returns an error if a clock is not an uptime.
func checkClock(us int64) error {
	if us <= 0 || us > maxClock.Microseconds() {
		return fmt.Errorf("%w: clock %d us", errForeign, us)
	}
	return nil
}

// checkHandshake returns an error if a first message names no entry.
func checkHandshake(h *wirev1.HandOverHandshake) error {
	if h.GetEntry() == "" {
		return fmt.Errorf("%w: no handshake", errForeign)
	}
	return nil
}
