package queue

// Order ranks a job among the jobs of its client and, between clients within their fair share,
// among all jobs. Lower keys go first, older jobs on a tie. A key must depend only on the
// job's own state, so that it changes only when a task of the job ends or its estimates
// change.
type Order interface {
	Key(j *Job) float64
}

// LeastWork is shortest-remaining-work first: it puts the job first whose unfinished tasks
// have the smallest total expected run time, divided by the client's weight. Finishing jobs
// that are nearly done keeps the mean response time short.
type LeastWork struct{}

// Key implements Order.
func (LeastWork) Key(j *Job) float64 { return j.work.Seconds() / j.Weight }
