package jobs

import (
	"time"

	"almondstand.dev/dispatch/planner"
)

// finish returns a job's outcome to its callers, caches it if a repeated request needs it, and
// counts and logs it.
func (e *Engine) finish(now time.Duration, d planner.Ended) {
	w := e.waiters[d.Job]
	if w == nil {
		return
	}
	delete(e.waiters, d.Job)
	w.answer = planner.Answer{Outcome: d.Outcome, Reason: d.Reason, RetryAfter: d.RetryAfter}
	close(w.ready)
	if d.Outcome == planner.Completed || d.Outcome == planner.Failed {
		e.answers[d.Job] = cachedAnswer{w.answer, now}
	}
	e.runsEndedChan(d.Job)
	e.metrics.countEnded(w.terms.Contract, d)
	logEnded(e.logger, d, w.terms, now-w.arrived)
}

func (e *Engine) pruneAnswers(now time.Duration) {
	if now-e.lastPrune < answerTTL/4 {
		return
	}
	e.lastPrune = now
	for id, k := range e.answers {
		if now-k.at > answerTTL {
			delete(e.answers, id)
		}
	}
	for id, until := range e.handedRunsUntil {
		if now > until {
			delete(e.handedRunsUntil, id)
		}
	}
}
