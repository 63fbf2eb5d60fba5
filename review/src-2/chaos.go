package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// lateShare is the share of orders to runners that get no answer and are carried out late.
func lateShare() float64 {
	share, _ := strconv.ParseFloat(os.Getenv("LATE"), 64)
	return share
}

// chaosJob is a job of playChaos, which is no case: it looks for faults with random disruptions.
type chaosJob struct {
	id        string
	steps     []map[string]any
	completed bool
	rejected  bool
	attempts  int
}

func playChaos(rec *Record) {
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 40
	}
	f := newFleet(3, 6, rec)
	for i, r := range f.Runners {
		if i%3 == 2 {
			r.labels = []string{"b", "r1-1"}
			r.cpu = 24000
		}
		r.onCall = func(path string, b call, _ http.ResponseWriter, q *http.Request) bool {
			if rand.Float64() >= lateShare() {
				return false
			}
			r.mu.Lock()
			life := r.id
			r.mu.Unlock()
			time.AfterFunc(time.Duration(2000+rand.Intn(10000))*time.Millisecond, func() {
				r.mu.Lock()
				same := r.id == life && !r.down
				r.mu.Unlock()
				if same {
					r.do(path, b)
				}
			})
			<-q.Context().Done()
			return true
		}
	}
	f.awaitReady()
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(secs)*time.Second)
	defer stop()
	var mu sync.Mutex
	jobs := map[string]*chaosJob{}
	var all sync.WaitGroup
	for range clients() {
		all.Go(func() {
			for ctx.Err() == nil {
				j := &chaosJob{id: newID()}
				ms := []int{40, 150, 400, 900}[rand.Intn(4)]
				for s := range 1 + rand.Intn(3) {
					st := map[string]any{"count": 1 + rand.Intn(6), "cpu": 1600, "mem_mb": 64, "est_runtime_ms": ms}
					if s > 0 {
						st["after"] = []int{s - 1}
					}
					if rand.Intn(3) == 0 {
						st["max_per_server"] = 1 + rand.Intn(2)
					}
					j.steps = append(j.steps, st)
				}
				mu.Lock()
				jobs[j.id] = j
				mu.Unlock()
				b := body(j.steps, spec{ms, 1600})
				for range 4 {
					c, cancel := context.WithCancel(ctx)
					if rand.Intn(8) == 0 {
						time.AfterFunc(time.Duration(rand.Intn(600))*time.Millisecond, cancel)
					}
					wait := 1500 + rand.Intn(3000)
					time.AfterFunc(time.Duration(wait)*time.Millisecond, cancel)
					a := f.send(c, f.Entries[rand.Intn(len(f.Entries))], "POST", j.id, b, time.Duration(wait)*time.Millisecond)
					cancel()
					j.attempts++
					if a.Status == 429 || a.Status == 503 {
						j.rejected = j.attempts == 1
						break
					}
					if a.Status == 200 {
						j.completed = a.Body == `{"state":"completed"}`
						break
					}
					time.Sleep(resendAfter)
				}
				time.Sleep(time.Duration(rand.Intn(300)) * time.Millisecond)
			}
		})
	}
	// Disruptions, one or two at once.
	for range 2 {
		all.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(300+rand.Intn(1200)) * time.Millisecond)
				switch rand.Intn(6) {
				case 0, 1:
					n := f.Entries[rand.Intn(len(f.Entries))]
					restart(f, n)
				case 2:
					n := f.Guards[rand.Intn(len(f.Guards))]
					restart(f, n)
				case 3:
					n := append(append([]*Node{}, f.Entries...), f.Guards...)[rand.Intn(9)]
					if !claim(n) {
						continue
					}
					f.signal(n, syscall.SIGSTOP)
					time.Sleep(time.Duration(200+rand.Intn(2500)) * time.Millisecond)
					f.signal(n, syscall.SIGCONT)
					release(n)
				case 4, 5:
					r := f.Runners[rand.Intn(len(f.Runners))]
					if !claim(r) {
						continue
					}
					r.crash()
					time.Sleep(time.Duration(100+rand.Intn(1500)) * time.Millisecond)
					r.boot()
					release(r)
				}
			}
		})
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	judge(rec, jobs)
}

var claims sync.Map

func claim(x any) bool { _, taken := claims.LoadOrStore(x, true); return !taken }
func release(x any)    { claims.Delete(x) }
func restart(f *Fleet, n *Node) {
	if !claim(n) {
		return
	}
	f.kill(n)
	time.Sleep(time.Duration(50+rand.Intn(900)) * time.Millisecond)
	f.start(n)
	release(n)
}

func judge(rec *Record, jobs map[string]*chaosJob) {
	done := map[string]time.Time{}
	rec.mu.Lock()
	runs := append([]RunRecord{}, rec.Runs...)
	rec.mu.Unlock()
	byTask := map[string][]RunRecord{}
	byStep := map[string][]RunRecord{}
	byRunner := map[string][]RunRecord{}
	for _, x := range runs {
		if x.End.IsZero() {
			x.End = time.Now()
		}
		byTask[x.Task] = append(byTask[x.Task], x)
		if x.How == "done" {
			if t, ok := done[x.Task]; !ok || x.End.Before(t) {
				done[x.Task] = x.End
			}
		}
		byRunner[x.Runner+x.Life] = append(byRunner[x.Runner+x.Life], x)
		var id string
		var k, s, i int
		_, _ = fmt.Sscanf(x.Task[17:], "%d.%d.%d", &k, &s, &i)
		id = x.Task[:16]
		byStep[fmt.Sprintf("%s.%d@%s", id, s, x.Life)] = append(byStep[fmt.Sprintf("%s.%d@%s", id, s, x.Life)], x)
		j := jobs[id]
		if j == nil {
			rec.breaks("UNASKED %s", x.Task)
			continue
		}
		if j.rejected && j.attempts == 1 {
			rec.breaks("REFUSED: %s started at %v, its job was rejected", x.Task, x.Start.Sub(rec.begin))
		}
		if s > 0 {
			for p := range j.steps[s-1]["count"].(int) {
				t := fmt.Sprintf("%s.0.%d.%d", id, s-1, p)
				if d, ok := done[t]; !ok || d.After(x.Start) {
					rec.breaks("ORDER: %s starts before %s is done", x.Task, t)
				}
			}
		}
	}
	overlap := func(list []RunRecord) int {
		most := 0
		for _, a := range list {
			n := 0
			for _, b := range list {
				if !b.Start.After(a.Start) && b.End.After(a.Start) {
					n++
				}
			}
			most = max(most, n)
		}
		return most
	}
	for t, list := range byTask {
		if overlap(list) > 1 {
			rec.breaks("TWICE: %s %v", t, list)
		}
	}
	for k, list := range byStep {
		var id string = k[:16]
		var s int
		_, _ = fmt.Sscanf(k[17:], "%d@", &s)
		if m, ok := jobs[id].steps[s]["max_per_server"].(int); ok && overlap(list) > m {
			rec.breaks("ROUTE: %s: %d of at most %d", k, overlap(list), m)
		}
	}
	for id, j := range jobs {
		if !j.completed {
			continue
		}
		for s, st := range j.steps {
			for i := range st["count"].(int) {
				if _, ok := done[fmt.Sprintf("%s.0.%d.%d", id, s, i)]; !ok {
					rec.breaks("MIXED: %s completed, step %d task %d isn't done", id, s, i)
				}
			}
		}
	}
	rec.add("jobs %d, runs %d", len(jobs), len(runs))
}

// cores is the processor share of an entry: that of the small deployments, or another one in playChaos.
func cores() float64 {
	if share, err := strconv.ParseFloat(os.Getenv("CORES"), 64); err == nil {
		return share
	}
	return 0.4
}

func clients() int {
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		return n
	}
	return 40
}
