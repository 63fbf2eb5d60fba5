package queue

import (
	"math"
	"math/bits"
	"time"

	"almondstand.dev/dispatch/internal/decay"
	"almondstand.dev/dispatch/internal/indexed"
)

// rateHalfLife is the half-life of the measured use of a client.
const rateHalfLife = 5 * time.Second

// Arrivals by size are measured over a fraction of the answer time: a job has to wait out what
// arrives meanwhile, and a burst that is short against its answer time does not hurt it.
const (
	arrivalDivisor     = 3
	minArrivalHalfLife = time.Second
	maxArrivalHalfLife = time.Minute
)

func arrivalHalfLife(answerTime time.Duration) time.Duration {
	return min(max(minArrivalHalfLife, answerTime/arrivalDivisor), maxArrivalHalfLife)
}

// sizeClasses is the number of size classes of jobs by their work. Each class goes up to twice
// the work of the one below it; the first ends at smallestClass.
const (
	sizeClasses   = 16
	smallestClass = 50 * time.Millisecond
)

// sizeClassOf returns the size class of a job with the given work.
func sizeClassOf(work time.Duration) int {
	return min(bits.Len64(uint64(max(0, work)/smallestClass)), sizeClasses-1)
}

// shares implements weighted fair queueing between clients, similar to earliest eligible
// virtual deadline first (EEVDF): the virtual time of a client advances by the work that it is
// given divided by its weight, and a client is eligible while its virtual time is not ahead of
// the weighted mean by more than the slack. Among eligible clients only the Order decides. So
// the shares limit a client that takes more than its own, and otherwise short jobs go first,
// whichever client they belong to; enforcing the shares task by task would make every job
// slower without a benefit for any client.
type shares struct {
	fair     bool
	slack    time.Duration
	capacity float64
	accounts map[string]*account
	// active holds the clients with waiting tasks. There are a few hundred at most, so one pass
	// over them is cheaper than heaps whose order changes with the mean.
	active []*account
	// mean is the weighted mean of the active clients' virtual times.
	mean         float64
	total        decay.Sum
	startedTasks int
}

// account is the fair queueing state of one client.
type account struct {
	weight float64
	// virtualTime is the client's virtual time: the work given divided by the weight, in
	// seconds.
	virtualTime float64
	used        decay.Sum
	// startedTasks counts the started tasks that have not ended.
	startedTasks int
	// work is the run time that counts for the waiting tasks, by size class of their job;
	// arrived is the same for recently added jobs.
	work    [sizeClasses]time.Duration
	arrived [sizeClasses]decay.Sum
	// halfLife is the half-life of arrived.
	halfLife time.Duration
	// jobs holds the jobs with waiting tasks, sorted by the order; aged holds the aged ones,
	// sorted by deadline. While both have jobs they alternate; agedNext is true
	// when an aged one is next.
	jobs     *indexed.Heap[*Job]
	aged     *indexed.Heap[*Job]
	agedNext bool
	// index is the position in active, indexed.None if the client is not active.
	index int
}

func newShares(o Options) shares {
	return shares{fair: !o.DisableFairQueueing, slack: o.Slack, accounts: map[string]*account{}}
}

// account returns the client's account and sets its current weight. The number of accounts is
// bounded by the number of contracts.
func (s *shares) account(client string, weight float64) *account {
	a := s.accounts[client]
	if a == nil {
		a = &account{
			jobs:  indexed.New(byKey, func(j *Job) *int { return &j.position }),
			aged:  indexed.New(byDeadline, func(j *Job) *int { return &j.position }),
			index: indexed.None,
		}
		s.accounts[client] = a
	}
	a.weight = weight
	return a
}

// countArrival counts the job among the arrivals of its size class.
func (a *account) countArrival(now time.Time, j *Job) {
	j.added = now
	j.sizeClass = sizeClassOf(sum(j.Estimates))
	a.halfLife = arrivalHalfLife(j.Deadline.Sub(j.Accepted))
	a.addArrivals(now, j, 1)
}

// addArrivals adds the job's arrivals to its size class, decayed to now and multiplied by times.
func (a *account) addArrivals(now time.Time, j *Job, times float64) {
	decayed := math.Exp2(-now.Sub(j.added).Seconds() / a.halfLife.Seconds())
	a.arrived[j.sizeClass].Add(now, a.halfLife, times*decayed*sum(j.AdmissionEstimates).Seconds())
}

func sum(times []time.Duration) time.Duration {
	var all time.Duration
	for _, t := range times {
		all += t
	}
	return all
}

// heap returns the heap that the job waits in.
func (a *account) heap(j *Job) *indexed.Heap[*Job] {
	if j.aged {
		return a.aged
	}
	return a.jobs
}

// waiting counts the jobs with waiting tasks.
func (a *account) waiting() int { return a.jobs.Len() + a.aged.Len() }

// head returns the job whose task is started next. A job must be waiting.
func (a *account) head() *Job {
	if a.jobs.Len() == 0 || a.agedNext && a.aged.Len() > 0 {
		return a.aged.Min()
	}
	return a.jobs.Min()
}

// moveToAged moves a job to the aged jobs, which take turns with the others.
func (a *account) moveToAged(j *Job) {
	waits := j.position != indexed.None
	a.jobs.Remove(j)
	j.aged = true
	if waits {
		a.aged.Push(j)
	}
}

func (s *shares) push(j *Job) {
	j.account.heap(j).Push(j)
	if j.account.index == indexed.None {
		s.activate(j.account)
	}
}

func (s *shares) remove(j *Job) {
	j.account.heap(j).Remove(j)
	if j.account.waiting() == 0 && j.account.index != indexed.None {
		s.deactivate(j.account)
	}
}

// activate makes a client active. A client cannot save up its share while it has nothing to run,
// and it does not owe more than the slack for having been ahead.
func (s *shares) activate(a *account) {
	mean, slack := s.meanAndSlack()
	a.virtualTime = min(max(a.virtualTime, mean), mean+slack)
	a.index = len(s.active)
	s.active = append(s.active, a)
}

func (s *shares) deactivate(a *account) {
	s.meanAndSlack()
	last := len(s.active) - 1
	s.active[a.index] = s.active[last]
	s.active[a.index].index = a.index
	s.active[last] = nil
	s.active = s.active[:last]
	a.index = indexed.None
}

// meanAndSlack updates the weighted mean of the virtual times, and returns it with the slack
// in virtual time. While no client is active the mean stays the same.
func (s *shares) meanAndSlack() (mean, slack float64) {
	if len(s.active) == 0 {
		return s.mean, 0
	}
	var sum, weights float64
	for _, a := range s.active {
		sum += a.weight * a.virtualTime
		weights += a.weight
	}
	s.mean = sum / weights
	return s.mean, s.slack.Seconds() * s.capacity / weights
}

func (s *shares) next() *Job {
	if len(s.active) == 0 {
		return nil
	}
	limit := s.eligibleUntil()
	var best *Job
	for _, a := range s.active {
		if a.virtualTime > limit {
			continue
		}
		if head := a.head(); best == nil || byKey(head, best) {
			best = head
		}
	}
	return best
}

// eligibleUntil returns the virtual time up to which a client is eligible. The client furthest
// behind is always eligible, also when rounding puts the mean below all of them.
func (s *shares) eligibleUntil() float64 {
	if !s.fair {
		return math.Inf(1)
	}
	least := math.Inf(1)
	for _, a := range s.active {
		least = min(least, a.virtualTime)
	}
	mean, slack := s.meanAndSlack()
	return max(least, mean+slack)
}

func (s *shares) charge(now time.Time, a *account, work time.Duration) {
	a.virtualTime += work.Seconds() / a.weight
	a.used.Add(now, rateHalfLife, work.Seconds())
	s.total.Add(now, rateHalfLife, work.Seconds())
}

// addStarted adds to the counts of started tasks; a negative number subtracts.
func (s *shares) addStarted(a *account, tasks int) {
	a.startedTasks += tasks
	s.startedTasks += tasks
}

func (s *shares) clientLoad(now time.Time, client string, weight float64, work time.Duration) ClientLoad {
	weights := weight
	own := s.accounts[client]
	for _, a := range s.active {
		if a != own {
			weights += a.weight
		}
	}
	load := ClientLoad{FairShare: weight / weights, OthersSlots: s.othersSlots(now, own), Idle: true}
	if own == nil {
		return load
	}
	load.Idle = own.index == indexed.None
	class := sizeClassOf(work)
	for i := range class {
		load.Ahead += own.work[i]
		load.SmallerArrivalRate += max(0, own.arrived[i].Rate(now, own.halfLife))
	}
	load.Ahead += own.work[class]
	load.SmallerArrivalRate += max(0, own.arrived[class].Rate(now, own.halfLife)) / 2
	return load
}

// othersSlots returns the number of slots that all clients but one use: what they used
// recently, or what they hold now if that is more. In the first seconds of a burst they have
// used little; by recent use alone each client would count on nearly all slots, and more jobs
// would be admitted than can be answered.
func (s *shares) othersSlots(now time.Time, own *account) float64 {
	used, startedTasks := s.total.Rate(now, rateHalfLife), s.startedTasks
	if own != nil {
		used -= own.used.Rate(now, rateHalfLife)
		startedTasks -= own.startedTasks
	}
	return max(0, used, float64(startedTasks))
}
