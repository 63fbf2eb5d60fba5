package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// cutAtExit: an entry gets SIGTERM while a job that it has accepted waits for capacity.
//
// Four jobs of eight tasks come within 0.2 s; the runner has room for one of them at a time, and each takes
// 2.5 s. The clients wait up to 15 s, and so does the route.
func cutAtExit(rec *record, d *deployment, trouble bool) (verdict, string) {
	const (
		host, prefix = "shop.example", "/lookup/"
		taskMs       = 2500
		jobs         = 4
		deadline     = 15 * time.Second
		grace        = 6 * time.Second
		slack        = 200 * time.Millisecond // loss_slack_ms
	)
	d.prepare(3, 1, []string{"a"})
	r := route("r-1", host, prefix, "teardown", 0)
	r["timeout_ms"], r["target_latency_ms"] = deadline.Milliseconds(), 10000
	d.configure(3, []map[string]any{r}, []map[string]any{service("teardown")})
	for _, n := range append(append([]*node{}, d.entries...), d.guards...) {
		n.start()
	}
	d.addRunner(0, "teardown", 32000, "a", "r1-1")
	if !d.awaitReady(10 * time.Second) {
		return couldntGo, "the entries didn't get ready"
	}
	time.Sleep(4 * time.Second)
	type sent struct {
		id string
		a  reply
	}
	all := make([]sent, jobs)
	var wait sync.WaitGroup
	for i := range all {
		c := newClient(rec, fmt.Sprint("client-", i+1), d.entries[0])
		all[i].id = newID()
		wait.Go(func() {
			all[i].a = c.post(host, prefix, all[i].id, taskMs, deadline, step{Count: 8, CPU: 4000, Mem: 64, Est: taskMs})
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	var at time.Duration
	if trouble {
		at = rec.add("%s gets SIGTERM", d.entries[0].id)
		d.entries[0].signal(syscall.SIGTERM)
	}
	wait.Wait()
	time.Sleep(time.Second)
	lost, why := 0, ""
	for _, j := range all {
		starts := rec.startsOf(j.id)
		// The excuses of the rule: the deadline or the route's timeout was reached, or a runner was at work
		// on the request in the last sixth of grace_s.
		atWork := false
		for _, s := range starts {
			atWork = atWork || trouble && s.at <= at+grace && (s.endedAt == 0 || s.endedAt >= at+grace*5/6)
		}
		switch {
		case j.a.status != 0:
			rec.add("job %s was answered: %d %s", j.id, j.a.status, j.a.text)
		case atWork:
			rec.add("job %s has no answer; a runner was at work on it in the last sixth of grace_s", j.id)
		case j.a.answered-j.a.sent >= deadline-slack:
			rec.add("job %s has no answer before its deadline", j.id)
		case trouble && (j.a.answered-at > grace+time.Second || j.a.answered-j.a.sent <= slack && len(starts) == 0):
			rec.add("job %s has no answer, outside the rule", j.id)
		default:
			lost++
			why = fmt.Sprintf("LOST: job %s: the connection ended without an answer %.2f s after the SIGTERM, %.2f s after the request was sent; %d of its tasks had been started",
				j.id, (j.a.answered - at).Seconds(), (j.a.answered - j.a.sent).Seconds(), len(starts))
			rec.add("%s", why)
		}
	}
	if lost > 0 {
		return broken, fmt.Sprintf("%d of %d jobs; %s", lost, jobs, why)
	}
	return held, "each request was answered, or is excused by the rule"
}
