// Package queue holds the jobs of one service that have waiting tasks, and decides which task
// is started next: by weighted fair queueing between clients, and by an Order within a client.
package queue

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/internal/indexed"
)

// Options configure a Queue.
type Options struct {
	// Order is the order of jobs; nil takes LeastWork.
	Order Order
	// DisableFairQueueing turns fair queueing between clients off.
	DisableFairQueueing bool
	// Slack is how far a client may be ahead of its fair share, in time of the whole service.
	// Zero enforces the share task by task.
	Slack time.Duration
	// Ageing is the fraction of its answer time after which a job takes turns with the first
	// job by the order, earliest deadline first among aged jobs; zero for never. Without it a
	// steady stream of small jobs keeps a large one waiting until its answer is late; if aged
	// jobs always went first, they would hold up the small ones whenever there is too much to
	// do.
	Ageing float64
}

// Queue holds jobs until their tasks have ended. It is not safe for concurrent use.
type Queue struct {
	opts      Options
	seq       uint64
	jobs      int
	waiting   int
	bytes     int64
	work      time.Duration
	shares    shares
	ages      *indexed.Heap[*Job]
	deadlines *indexed.Heap[*Job]
}

// New returns an empty Queue.
func New(o Options) *Queue {
	if o.Order == nil {
		o.Order = LeastWork{}
	}
	return &Queue{
		opts:      o,
		shares:    newShares(o),
		ages:      indexed.New(byAge, func(j *Job) *int { return &j.agePosition }),
		deadlines: indexed.New(byDeadline, func(j *Job) *int { return &j.deadlinePosition }),
	}
}

func byDeadline(a, b *Job) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.seq < b.seq
	}
	return a.Deadline.Before(b.Deadline)
}

func byAge(a, b *Job) bool { return a.agesAt.Before(b.agesAt) }

// byKey compares the first jobs of two clients: an aged job goes before one that is not aged,
// two aged ones by deadline, the others by the key of the order, oldest first on a tie.
func byKey(a, b *Job) bool {
	if a.aged != b.aged {
		return a.aged
	}
	if a.aged {
		return byDeadline(a, b)
	}
	if a.key == b.key {
		return a.seq < b.seq
	}
	return a.key < b.key
}

// Add adds a new job with all its tasks waiting.
func (q *Queue) Add(now time.Time, j *Job) {
	q.seq++
	j.prepare(q.seq)
	j.key = q.opts.Order.Key(j)
	j.account = q.shares.account(j.Client, j.Weight)
	j.account.countArrival(now, j)
	q.jobs++
	q.waiting += len(j.waiting)
	q.bytes += j.Bytes
	q.addWork(j, sum(j.AdmissionEstimates))
	q.deadlines.Push(j)
	q.shares.push(j)
	if q.opts.Ageing > 0 {
		answerTime := float64(j.Deadline.Sub(j.Accepted))
		j.agesAt = j.Accepted.Add(time.Duration(q.opts.Ageing * answerTime))
		q.ages.Push(j)
	}
}

// SetCapacity sets the number of slots that the service has for this queue; the slack between
// clients is scaled by it.
func (q *Queue) SetCapacity(slots float64) { q.shares.capacity = slots }

// Peek returns the job whose task is started next, nil if none is waiting.
func (q *Queue) Peek(now time.Time) *Job {
	for q.ages.Len() > 0 && !q.ages.Min().agesAt.After(now) {
		j := q.ages.Pop()
		j.account.moveToAged(j)
	}
	return q.shares.next()
}

// Start removes the job's next task from the waiting ones and returns its index.
func (q *Queue) Start(now time.Time, j *Job) int {
	return q.start(now, j, len(j.waiting)-1)
}

// StartShortest is like Start, for the shortest waiting task of the job.
func (q *Queue) StartShortest(now time.Time, j *Job) int {
	return q.start(now, j, 0)
}

func (q *Queue) start(now time.Time, j *Job, at int) int {
	index := j.waiting[at]
	j.waiting = slices.Delete(j.waiting, at, at+1)
	q.waiting--
	j.account.agedNext = !j.aged
	q.addWork(j, -j.AdmissionEstimates[index])
	q.shares.addStarted(j.account, 1)
	q.shares.charge(now, j.account, j.Estimates[index])
	if len(j.waiting) == 0 {
		q.shares.remove(j)
	}
	return index
}

// Return puts back a started task that did not run or may run again.
func (q *Queue) Return(now time.Time, j *Job, index int) {
	j.waiting = append(j.waiting, index)
	q.waiting++
	q.addWork(j, j.AdmissionEstimates[index])
	q.shares.addStarted(j.account, -1)
	q.shares.charge(now, j.account, -j.Estimates[index])
	if len(j.waiting) == 1 {
		q.shares.push(j)
	}
}

// Finish ends a started task that used run of a slot's time. It returns true for the last task
// of the job.
func (q *Queue) Finish(now time.Time, j *Job, index int, run time.Duration) bool {
	q.shares.addStarted(j.account, -1)
	q.shares.charge(now, j.account, run-j.Estimates[index])
	if j.removed {
		return false
	}
	j.left--
	j.work -= j.Estimates[index]
	j.key = q.opts.Order.Key(j)
	j.account.heap(j).Fix(j)
	if j.left > 0 {
		return false
	}
	q.Remove(j)
	return true
}

// Estimate changes the expected run times of the job's tasks, by index, and the run times that
// count for them in the admission of other jobs. A started task keeps its estimate, because it
// was charged with it.
func (q *Queue) Estimate(now time.Time, j *Job, estimates, admissionEstimates []time.Duration) {
	if j.removed {
		return
	}
	for _, index := range j.waiting {
		q.addWork(j, -j.AdmissionEstimates[index])
		j.work += estimates[index] - j.Estimates[index]
		j.Estimates[index] = estimates[index]
	}
	j.account.addArrivals(now, j, -1)
	j.AdmissionEstimates = admissionEstimates
	j.sizeClass = sizeClassOf(sum(estimates))
	j.sort()
	j.account.addArrivals(now, j, 1)
	for _, index := range j.waiting {
		q.addWork(j, admissionEstimates[index])
	}
	j.key = q.opts.Order.Key(j)
	j.account.heap(j).Fix(j)
}

// Remove removes a job and returns the indexes of its waiting tasks.
func (q *Queue) Remove(j *Job) []int {
	if j.removed {
		return nil
	}
	j.removed = true
	waiting := j.waiting
	j.waiting = nil
	q.jobs--
	q.waiting -= len(waiting)
	q.bytes -= j.Bytes
	for _, index := range waiting {
		q.addWork(j, -j.AdmissionEstimates[index])
	}
	q.ages.Remove(j)
	q.deadlines.Remove(j)
	q.shares.remove(j)
	return waiting
}

func (q *Queue) addWork(j *Job, work time.Duration) {
	q.work += work
	j.account.work[j.sizeClass] += work
}

// Expired returns the next job whose deadline has passed, nil if there is none.
func (q *Queue) Expired(now time.Time) *Job {
	if q.deadlines.Len() == 0 {
		return nil
	}
	first := q.deadlines.Min()
	if first.Deadline.After(now) {
		return nil
	}
	return first
}

// NextDeadline returns the earliest deadline, zero if there is no job.
func (q *Queue) NextDeadline() time.Time {
	if q.deadlines.Len() == 0 {
		return time.Time{}
	}
	return q.deadlines.Min().Deadline
}

// Jobs returns the number of jobs with unfinished tasks.
func (q *Queue) Jobs() int { return q.jobs }

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return q.waiting }

// Bytes returns the total size of the jobs' payloads.
func (q *Queue) Bytes() int64 { return q.bytes }

// Work returns the total run time that counts for the waiting tasks.
func (q *Queue) Work() time.Duration { return q.work }

// ClientLoad is the load that a new job of one client would meet in the queue.
type ClientLoad struct {
	// Idle is true if no task of the client is waiting.
	Idle bool
	// Ahead is the run time that counts for the client's waiting tasks in jobs of the same size
	// class or smaller, which go first.
	Ahead time.Duration
	// SmallerArrivalRate is the rate at which work of the client's smaller jobs arrives, in seconds
	// of work per second: these jobs will go first too.
	SmallerArrivalRate float64
	// FairShare is the share of the service that the client's weight gives it among the clients
	// with waiting tasks, itself included.
	FairShare float64
	// OthersSlots is the number of slots that all other clients use.
	OthersSlots float64
}

// ClientLoad returns the load that a job of the client with the given expected work would meet.
func (q *Queue) ClientLoad(now time.Time, client string, weight float64, work time.Duration) ClientLoad {
	return q.shares.clientLoad(now, client, weight, work)
}
