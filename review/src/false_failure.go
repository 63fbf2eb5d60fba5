package main

import (
	"fmt"
	"syscall"
	"time"
)

// falseFailure: the guard beside the only runner of a kind is stopped as planned and started again, while the
// runner works on. Clients hand in jobs whose tasks must run on that kind, and wait for up to 5 s.
func falseFailure(rec *record, d *deployment, trouble bool) (verdict, string) {
	const (
		host, prefix = "shop.example", "/lookup/"
		taskMs       = 60
		deadline     = 5 * time.Second
		runners      = 6 // one of them is of kind b; one machine is a share of 0.17
		rounds       = 4
	)
	d.prepare(3, runners, []string{"a", "b", "c"})
	d.configure(3, []map[string]any{route("r-1", host, prefix, "dispatch", 0)}, []map[string]any{service("dispatch")})
	for _, n := range append(append([]*node{}, d.entries...), d.guards...) {
		n.start()
	}
	for i := range runners {
		kind := "a"
		if i == runners-1 {
			kind = "b"
		}
		d.addRunner(i, "dispatch", 32000, kind, fmt.Sprintf("r1-%d", i/3))
	}
	if !d.awaitReady(10 * time.Second) {
		return couldntGo, "the entries didn't get ready"
	}
	time.Sleep(4 * time.Second)
	send := func(c *client, id string) reply {
		return c.post(host, prefix, id, taskMs, deadline, step{Count: 2, CPU: 3100, Mem: 64, Est: taskMs, Label: "b"})
	}
	var all []*traffic
	for _, n := range d.entries {
		all = append(all, startTraffic(rec, n, 4, 10, send))
	}
	guard := d.guards[runners-1]
	for range rounds {
		time.Sleep(4 * time.Second)
		if trouble {
			rec.add("%s gets SIGTERM", guard.id)
			guard.signal(syscall.SIGTERM)
			select {
			case <-guard.done:
			case <-time.After(6 * time.Second):
				guard.signal(syscall.SIGKILL)
				<-guard.done
			}
			time.Sleep(500 * time.Millisecond)
			guard.start()
		}
	}
	time.Sleep(4 * time.Second)
	bad, jobs := 0, 0
	for _, t := range all {
		for _, j := range t.end() {
			jobs++
			if j.a.status != 200 || j.a.state != "failed" {
				continue
			}
			starts, failed := rec.startsOf(j.id), 0
			for _, s := range starts {
				if s.outcome == "failed" {
					failed++
				}
			}
			if failed == 0 {
				bad++
				rec.add("LOST: job %s is shown as failed %.3f s after it was sent; its tasks were started %d times, and none has ended failed", j.id, (j.a.answered - j.a.sent).Seconds(), len(starts))
			}
		}
	}
	if bad > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d jobs are shown as failed though none of their tasks has failed", bad, jobs)
	}
	return held, fmt.Sprintf("no job of %d is shown as failed", jobs)
}
