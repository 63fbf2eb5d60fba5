package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// wrongKind: a runner crashes and begins again at its address as another kind while an entry is frozen for
// 0.4 s. Clients hand in jobs whose tasks must run on the old kind.
func wrongKind(rec *record, d *deployment, trouble bool) (verdict, string) {
	const (
		host, prefix = "shop.example", "/lookup/"
		taskMs       = 60
		deadline     = 1500 * time.Millisecond
		freeze       = 400 * time.Millisecond
		down         = 150 * time.Millisecond
		runners      = 8 // one of them crashes: a share of 0.125
		clients      = 8
		rounds       = 8
	)
	d.prepare(3, runners, []string{"a", "b", "c"})
	d.configure(3, []map[string]any{route("r-1", host, prefix, "dispatch", 0)}, []map[string]any{service("dispatch")})
	for _, n := range append(append([]*node{}, d.entries...), d.guards...) {
		n.start()
	}
	kind := func(i int) string {
		if i < 2 {
			return "a"
		}
		return "b"
	}
	for i := range runners {
		d.addRunner(i, "dispatch", 32000, kind(i), fmt.Sprintf("r1-%d", i/3))
	}
	changing := d.runners[0]
	if !d.awaitReady(10 * time.Second) {
		return couldntGo, "the entries didn't get ready"
	}
	time.Sleep(4 * time.Second)
	entry := d.entries[0]
	var all []*client
	for i := range clients {
		all = append(all, newClient(rec, fmt.Sprint("client-", i+1), entry))
	}
	var mu sync.Mutex
	var ids []string
	post := func(wait *sync.WaitGroup) {
		for _, c := range all {
			wait.Go(func() {
				id := newID()
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				c.post(host, prefix, id, taskMs, deadline, step{Count: 2, CPU: 3100, Mem: 64, Est: taskMs, Label: "a"})
			})
		}
	}
	for range rounds {
		var before, during sync.WaitGroup
		post(&before)
		before.Wait()
		frozen := time.Now()
		if trouble {
			rec.add("%s is frozen", entry.id)
			entry.signal(syscall.SIGSTOP)
			time.Sleep(20 * time.Millisecond)
			changing.crash()
			time.Sleep(down)
			changing.begin("b", "r1-0")
			time.Sleep(50 * time.Millisecond)
		}
		post(&during)
		if trouble {
			time.Sleep(time.Until(frozen.Add(freeze)))
			rec.add("%s goes on", entry.id)
			entry.signal(syscall.SIGCONT)
		}
		during.Wait()
		time.Sleep(4 * time.Second)
		if trouble {
			changing.crash()
			time.Sleep(down)
			changing.begin("a", "r1-0")
		}
		time.Sleep(4 * time.Second)
	}
	bad, jobs := 0, map[string]bool{}
	for _, id := range ids {
		for _, s := range rec.startsOf(id) {
			if !slices.Contains(s.labels, "a") {
				bad++
				jobs[id] = true
				rec.add("ROUTE: task %s requires the label a and was started on %s, labels %v", s.task, s.id, s.labels)
			}
		}
	}
	if bad > 0 {
		return broken, fmt.Sprintf("ROUTE: %d tasks of %d jobs (of %d) were started on a runner without the label in required_label", bad, len(jobs), len(ids))
	}
	return held, fmt.Sprintf("%d jobs ran on runners with the label in required_label", len(ids))
}
