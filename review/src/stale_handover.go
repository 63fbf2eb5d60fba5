package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// staleHandover: the operator moves a route to another service while many users come to one zone at once, so
// that its entry hands jobs over to other entries.
//
// Each change is judged by the second rule CONFIG: after a runner has seen the effect of the version through
// a request to this entry, a request that is sent to it more than rollback_slack_ms later must not be run by
// the old service.
func staleHandover(rec *record, d *deployment, trouble bool) (verdict, string) {
	const (
		host, prefix = "shop.example", "/lookup/"
		taskMs       = 60
		deadline     = 1500 * time.Millisecond
		slack        = 250 * time.Millisecond // rollback_slack_ms
		usual        = 0.23                   // of the entry's processor time
		burst        = 1.8                    // x of "many users come at once"
		burstFor     = 4 * time.Second        // for_s
		changes      = 7
	)
	names := []string{"dispatch", "dispatch-2"}
	services := []map[string]any{service(names[0]), service(names[1])}
	d.prepare(3, 6, []string{"a", "b", "c"})
	configure := func(version, which int) time.Duration {
		return d.configure(version, []map[string]any{route("r-1", host, prefix, names[which], 0)}, services)
	}
	configure(3, 0)
	// All machines start within 0.3 s of each other.
	for i := range d.guards {
		d.guards[i].start()
	}
	for _, n := range d.entries {
		n.start()
		time.Sleep(140 * time.Millisecond)
	}
	for i := range d.guards {
		d.addRunner(i, names[i%2], 32000, "a", "r1-1")
	}
	if !d.awaitReady(10 * time.Second) {
		return couldntGo, "the entries didn't get ready"
	}
	time.Sleep(4 * time.Second)
	send := func(c *client, id string) reply {
		return c.post(host, prefix, id, taskMs, deadline, step{Count: 4, CPU: 400, Mem: 64, Est: taskMs})
	}
	busy := d.entries[0]
	own := startTraffic(rec, busy, 60, 60, send)
	var others []*traffic
	for _, n := range d.entries[1:] {
		t := startTraffic(rec, n, 10, 20, send)
		others = append(others, t)
		defer t.end()
	}
	// The usual traffic is what takes this share of the entry's processor time, on whatever machine this runs:
	// 40 to 60 jobs a second, as in one zone of the small deployments.
	time.Sleep(time.Second)
	for range 5 {
		x := busy.used(1500 * time.Millisecond)
		rec.add("%s uses %.3f of its processor time at %.0f jobs a second", busy.id, x, own.rate())
		own.set(min(own.rate()*min(max(usual/x, 0.5), 2), 1000))
	}
	normal := own.rate()
	type change struct {
		acked, effect time.Duration
		old, new      string
	}
	made := make([]change, changes)
	for i := range made {
		time.Sleep(3 * time.Second)
		if trouble {
			rec.add("burst: %.1f times the traffic for %v", burst, burstFor)
			own.set(normal * burst)
			for _, t := range others {
				t.set(20 * burst)
			}
		}
		before := time.Second + rand.N(900*time.Millisecond)
		time.Sleep(before)
		which := (i + 1) % 2
		made[i] = change{old: names[1-which], new: names[which], acked: configure(7+4*i, which)}
		x := busy.used(burstFor - before)
		own.set(normal)
		for _, t := range others {
			t.set(20)
		}
		rec.add("%s used %.3f of its processor time", busy.id, x)
	}
	time.Sleep(2 * time.Second)
	jobs := own.end()
	startsOf := map[string][]startSeen{}
	for _, s := range rec.starts {
		startsOf[s.job] = append(startsOf[s.job], s)
	}
	broke, worst := 0, time.Duration(0)
	for i, x := range made {
		next := rec.now()
		if i+1 < len(made) {
			next = made[i+1].acked
		}
		for _, j := range jobs {
			for _, s := range startsOf[j.id] {
				if s.service == x.new && s.at > x.acked && s.at < next && (x.effect == 0 || s.at < x.effect) {
					x.effect = s.at
				}
			}
		}
		if x.effect == 0 {
			return couldntGo, "a version had no effect"
		}
		old, latest := 0, time.Duration(0)
		for _, j := range jobs {
			if j.a.sent <= x.effect+slack || j.a.sent >= next || j.a.status != 200 {
				continue
			}
			for _, s := range startsOf[j.id] {
				if s.service == x.old {
					old++
					latest = max(latest, j.a.sent-x.effect)
					rec.add("CONFIG: job %s was sent to %s %.3f s after the effect of the version acknowledged at %.4f s was seen; its task %s was run by the old service %s",
						j.id, busy.id, (j.a.sent - x.effect).Seconds(), x.acked.Seconds(), s.task, x.old)
					break
				}
			}
		}
		rec.add("change %d: acknowledged at %.4f s, effect seen at %.4f s; %d jobs that were sent over %v later were run by the old service, the last one sent %.3f s after the effect",
			i+1, x.acked.Seconds(), x.effect.Seconds(), old, slack, latest.Seconds())
		if old > 0 {
			broke++
			worst = max(worst, latest)
		}
	}
	if broke > 0 {
		return broken, fmt.Sprintf("CONFIG: %s regressed after %d of %d changes, up to %.3f s after the effect was seen", busy.id, broke, changes, worst.Seconds())
	}
	return held, fmt.Sprintf("no regress after %d changes", changes)
}
