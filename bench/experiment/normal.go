package experiment

import "almondstand.dev/bench/result"

// backToNormal returns how long after the end of the last burst the response times were
// as before the first one; nil when there was no burst. The time is negative if they
// never were during the run.
func (r *run) backToNormal() *result.Recovery {
	if len(r.e.Bursts) == 0 {
		return nil
	}
	first, last := r.e.Bursts[0], r.e.Bursts[len(r.e.Bursts)-1]
	recovery := r.result.Recovery(first.At.Std(), last.At.Std()+last.For.Std(), r.e.Duration.Std())
	recovery.Burst = last.For.Std().Seconds()
	return &recovery
}
