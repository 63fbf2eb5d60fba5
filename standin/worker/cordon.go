package worker

import "time"

// cordonBound is the time after the cordoning of a data centre from which no start may reach its
// runners.
const cordonBound = 5 * time.Second

// cordons are the cordoned data centres.
type cordons struct {
	// since is, by data centre, the time from which cordonBound counts.
	since map[string]time.Time
	// storeDown is true while no entry reaches the store.
	storeDown bool
}

// Cordon records that a data centre is cordoned from now on.
func (j *Checker) Cordon(dataCentre string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cordons.since == nil {
		j.cordons.since = map[string]time.Time{}
	}
	j.cordons.since[dataCentre] = time.Now()
}

// Uncordon records that a data centre is about to be taken back.
func (j *Checker) Uncordon(dataCentre string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.cordons.since, dataCentre)
}

// SetStoreDown records whether the store is down for all entries. The time for which it is does not
// count towards the bound of a cordon.
func (j *Checker) SetStoreDown(down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cordons.storeDown = down
	for dc := range j.cordons.since {
		j.cordons.since[dc] = time.Now()
	}
}

// checkCordon reports a start that reached a runner of a cordoned data centre too late.
func (j *Checker) checkCordon(dataCentre, task string, arrived time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	since, cordoned := j.cordons.since[dataCentre]
	if cordoned && !j.cordons.storeDown && arrived.Sub(since) > cordonBound {
		j.addViolation("%s was sent to a runner of %s %v after the data centre was cordoned", task, dataCentre, arrived.Sub(since))
	}
}
