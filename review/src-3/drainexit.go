package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/caller"
)

// Times of the case drainExit, counted from the SIGTERM.
const (
	// firstRequest and lastRequest bound the times at which the clients send their requests.
	firstRequest = 2200 * time.Millisecond
	lastRequest  = 3400 * time.Millisecond
	// rounds is the number of SIGTERMs, each to the next entry in turn.
	rounds = 24
	// clientsPerRound is the number of clients with an open connection to the entry.
	clientsPerRound = 24
)

// drainExit: entries are stopped and started in turn. Clients have opened connections to the entry before, and
// send their requests on them while it drains.
func drainExit(ctx context.Context, r *record, trouble bool, dir string) ([]string, error) {
	const entries = 4
	f, err := startFleet(ctx, dir, fleet.Options{Entries: entries, Guards: 6, NoRelays: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sleep(ctx, 4*time.Second)
	x := &drainExitCase{fleet: f, record: r, outcomes: map[string]int{}}
	for round := range rounds {
		if err := x.round(ctx, f.Entries[round%entries], trouble); err != nil {
			return nil, err
		}
	}
	r.add("requests by outcome: %v", x.outcomes)
	writeTrace(r, f)
	return x.violations, nil
}

// drainExitCase is the state of drainExit.
type drainExitCase struct {
	fleet  *fleet.Fleet
	record *record

	mu         sync.Mutex
	outcomes   map[string]int
	violations []string
}

// round stops and starts one entry while clients use the connections that they have opened to it.
func (x *drainExitCase) round(ctx context.Context, n *fleet.Node, trouble bool) error {
	var open []net.Conn
	for range clientsPerRound {
		c, err := net.Dial("tcp", n.CallersAddress)
		if err != nil {
			return err
		}
		open = append(open, c)
	}
	if trouble {
		x.record.add("SIGTERM to %s", n.ID)
		n.Process().Terminate()
	}
	var clients sync.WaitGroup
	for _, c := range open {
		clients.Go(func() {
			sleep(ctx, firstRequest+rand.N(lastRequest-firstRequest))
			x.send(ctx, n, c)
		})
	}
	clients.Wait()
	if !trouble {
		return nil
	}
	<-n.Process().Done()
	x.record.add("%s has exited and is started again", n.ID)
	return n.Start()
}

// send sends a request on an open connection and reads the answer. It has been passed on to a runner if a
// runner was told to start one of its tasks.
func (x *drainExitCase) send(ctx context.Context, n *fleet.Node, c net.Conn) {
	defer func() { _ = c.Close() }()
	j := fleet.NewJob(2, 100)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.CallersAddress+fleet.Prefix+j.ID, bytes.NewReader(j.Body()))
	if err != nil {
		return
	}
	req.Host = fleet.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.DeadlineHeader, strconv.FormatInt(j.Deadline.Milliseconds(), 10))
	sent := time.Now()
	if err := req.Write(c); err != nil {
		x.count("connection closed before")
		return
	}
	_ = c.SetReadDeadline(sent.Add(j.Deadline))
	res, err := http.ReadResponse(bufio.NewReader(c), req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
	}
	took := time.Since(sent)
	if err == nil {
		x.count(strconv.Itoa(res.StatusCode))
		return
	}
	sleep(ctx, 200*time.Millisecond)
	if took >= j.Deadline || !x.passedOn(j.ID) {
		x.count("no answer, not passed on to a runner")
		return
	}
	x.count("no answer, passed on to a runner")
	x.record.add("POST %s to %s: no answer after %s: %v", j.ID, n.ID, took.Round(time.Millisecond), err)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violations = append(x.violations, fmt.Sprintf("LOST: request %s was passed on to a runner, and %s ended the connection without an answer %s after it was sent: %v",
		j.ID, n.ID, took.Round(time.Millisecond), err))
}

func (x *drainExitCase) count(outcome string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outcomes[outcome]++
}

// passedOn reports whether a runner was told to start a task of the job.
func (x *drainExitCase) passedOn(job string) bool {
	for _, e := range x.fleet.Checker.Trace() {
		if e.Job == job && strings.Contains(e.Text, "/run-start ") {
			return true
		}
	}
	return false
}
