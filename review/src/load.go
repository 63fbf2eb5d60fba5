package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is what the clients of one zone send to its entry: jobs at random times, at a rate that may change.
type traffic struct {
	perSecond atomic.Int64 // in thousandths
	stop      chan struct{}
	wait      sync.WaitGroup
	mu        sync.Mutex
	jobs      []sentJob
}

type sentJob struct {
	id string
	a  reply
}

// startTraffic lets the given number of clients send jobs, each over a connection of its own.
func startTraffic(rec *record, n *node, clients int, perSecond float64, send func(c *client, id string) reply) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.set(perSecond)
	for i := range clients {
		c := newClient(rec, fmt.Sprintf("%s-%d", n.id, i+1), n)
		t.wait.Go(func() { t.run(c, clients, send) })
	}
	return t
}

func (t *traffic) set(perSecond float64) { t.perSecond.Store(int64(perSecond * 1000)) }
func (t *traffic) rate() float64         { return float64(t.perSecond.Load()) / 1000 }

func (t *traffic) run(c *client, clients int, send func(*client, string) reply) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	due := time.Now()
	for {
		mean := float64(clients) / t.rate()
		due = due.Add(time.Duration(mean * (0.5 + rand.Float64()) * float64(time.Second)))
		if late := time.Since(due); late > time.Second {
			due = time.Now()
		}
		select {
		case <-t.stop:
			return
		case <-time.After(time.Until(due)):
		}
		id := newID()
		a := send(c, id)
		t.mu.Lock()
		t.jobs = append(t.jobs, sentJob{id, a})
		t.mu.Unlock()
	}
}

func (t *traffic) end() []sentJob {
	close(t.stop)
	t.wait.Wait()
	return t.jobs
}

// cpu returns the processor time that a node's process has used.
func (n *node) cpu() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	must(err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// used returns the share of its processor time (limits.cpu_share) that a node uses during the span.
func (n *node) used(span time.Duration) float64 {
	before, at := n.cpu(), time.Now()
	time.Sleep(span)
	return (n.cpu() - before).Seconds() / time.Since(at).Seconds() / cpuShare
}
