package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	routeHost  = "shop.example"
	prefix     = "/lookup/"
	service    = "teardown"
	entryPort  = 7720
	clientWait = 12 * time.Second
)

// Node is a process of the system.
type Node struct {
	Name, Front, Ready, Control string
	program                     string
	args                        []string
	settings                    string
	cmd                         *exec.Cmd
	log                         string
}

// Fleet is a small deployment.
type Fleet struct {
	dir     string
	rec     *Record
	store   *Store
	storeAt string
	Entries []*Node
	Guards  []*Node
	Runners []*Runner
	client  *http.Client
}

// cleanup ends what was started before the program ends.
var cleanup = func() {}

func cannotRun(format string, args ...any) {
	fmt.Printf("can't run: "+format+"\n", args...)
	cleanup()
	os.Exit(2)
}

// freeIP returns a loopback address that nobody uses for the port.
func freeIP() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.Intn(200), rand.Intn(250), 2+rand.Intn(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, entryPort)); err == nil {
			_ = l.Close()
			return ip
		}
	}
}

func free(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// config is the operator's configuration with one queue.
func config(version int) map[string]any {
	return map[string]any{"version": version, "services": []any{}, "limits": map[string]any{"max_body_bytes": 262144},
		"routes": []any{map[string]any{"name": "r0", "host": routeHost, "prefix": prefix, "service": service, "timeout_ms": 10000,
			"target_latency_ms": 60, "priority": 0, "max_attempts": 3, "stretch": 1.6}}}
}

// newFleet starts a deployment with the settings that the templates in deploy/ yield.
func newFleet(entries, guards int, rec *Record, seeds ...string) *Fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	f := &Fleet{dir: dir, rec: rec, store: newStore(), client: &http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}}
	cleanup = f.close
	f.store.put("op/config", config(3))
	address := f.store.serve()
	f.storeAt = address
	stale := len(seeds) > 0
	for i := range entries {
		ip := freeIP()
		n := &Node{Name: fmt.Sprintf("edge-%d", i+1), Front: free(ip), Ready: free(ip), program: "target/almondstand"}
		n.settings = filepath.Join(dir, n.Name+".json")
		n.args = []string{"entry", "--settings", n.settings}
		f.Entries = append(f.Entries, n)
		if i < 3 && !stale {
			seeds = append(seeds, ip+":8166")
		}
		n.Control = ip
	}
	for _, n := range f.Entries {
		f.write(n, map[string]any{"id": n.Name, "zone": "z", "seeds": seeds, "store": address, "bounds": map[string]any{"grace": "6s"}, "host": map[string]any{"cores": cores()},
			"listen": map[string]any{"callers": n.Front, "ready": n.Ready, "guards": fmt.Sprintf("%s:%d", n.Control, entryPort), "metrics": free(n.Control)}})
	}
	for i := range guards {
		ip := freeIP()
		n := &Node{Name: fmt.Sprintf("side-%d", i+1), Control: free(ip), program: "target/almondguard"}
		n.settings = filepath.Join(dir, n.Name+".json")
		n.args = []string{"run", "--settings", n.settings}
		f.write(n, map[string]any{"id": n.Name, "zone": "z", "seeds": seeds, "store": address, "entry_port": entryPort,
			"bounds": map[string]any{"resend": "1300ms", "max_lease": "1000ms", "grace": "6s"},
			"listen": map[string]any{"reports": n.Control, "metrics": free(ip)}})
		f.Guards = append(f.Guards, n)
		f.Runners = append(f.Runners, &Runner{name: fmt.Sprintf("runner-%d", i+1), ip: ip, control: n.Control, service: service, cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}, rec: rec})
	}
	for _, n := range append(append([]*Node{}, f.Entries...), f.Guards...) {
		f.start(n)
	}
	for _, r := range f.Runners {
		r.boot()
	}
	return f
}

func (f *Fleet) write(n *Node, settings map[string]any) {
	raw, _ := json.MarshalIndent(map[string]any{"capacity": settings}, "", "  ")
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts a process with the command of the deploy file.
func (f *Fleet) start(n *Node) {
	n.log = filepath.Join(f.dir, n.Name+".log")
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	n.cmd = exec.Command(n.program, n.args...)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		cannotRun("%s: %v", n.Name, err)
	}
	f.rec.add("%s starts", n.Name)
}

func (f *Fleet) signal(n *Node, s syscall.Signal) {
	f.rec.add("%s gets %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends a process and waits for its end.
func (f *Fleet) kill(n *Node) {
	f.signal(n, syscall.SIGKILL)
	_ = n.cmd.Wait()
}

func (f *Fleet) close() {
	for _, n := range append(append([]*Node{}, f.Entries...), f.Guards...) {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// awaitReady waits until all entries are ready and have served jobs.
func (f *Fleet) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range f.Entries {
		for !ready(n) {
			if time.Now().After(deadline) {
				cannotRun("%s isn't ready", n.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// All guards attach, and run times are learnt.
	time.Sleep(3500 * time.Millisecond)
}

func ready(n *Node) bool {
	c := &http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// Answer is the answer to a request; status 0 if there was none.
type Answer struct {
	Status int
	Body   string
}

// newID returns a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// body returns a job that needn't be kept.
func body(steps []map[string]any, s spec) []byte {
	text, _ := json.Marshal(s)
	raw, _ := json.Marshal(map[string]any{"task_spec": string(text), "best_effort": true, "steps": steps})
	return raw
}

// send sends a request to an entry.
func (f *Fleet) send(ctx context.Context, n *Node, method, id string, b []byte, wait time.Duration) Answer {
	f.rec.add("client: %s %s to %s", method, id, n.Name)
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+n.Front+prefix+id, bytes.NewReader(b))
	q.Host = routeHost
	if b != nil {
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set("X-Almondstand-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	res, err := f.client.Do(q)
	if err != nil {
		f.rec.add("client: %s %s to %s: no answer: %v", method, id, n.Name, err)
		return Answer{}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		f.rec.add("client: %s %s to %s: no whole answer: %v", method, id, n.Name, err)
		return Answer{}
	}
	f.rec.add("client: %s %s to %s: %d %s", method, id, n.Name, res.StatusCode, text)
	return Answer{res.StatusCode, string(text)}
}

// moveEntries starts the entries at new addresses, and names them as seeds in the settings of the guards, without a signal.
func (f *Fleet) moveEntries() {
	var seeds []string
	for _, n := range f.Entries {
		ip := freeIP()
		n.Control, n.Front, n.Ready = ip, free(ip), free(ip)
		seeds = append(seeds, ip+":8166")
	}
	for i, n := range f.Entries {
		n.Name = fmt.Sprintf("edge-%d", len(f.Entries)+i+1)
		n.settings = filepath.Join(f.dir, n.Name+".json")
		n.args = []string{"entry", "--settings", n.settings}
		f.write(n, map[string]any{"id": n.Name, "zone": "z", "seeds": seeds, "store": f.storeAt, "bounds": map[string]any{"grace": "6s"}, "host": map[string]any{"cores": 0.4},
			"listen": map[string]any{"callers": n.Front, "ready": n.Ready, "guards": fmt.Sprintf("%s:%d", n.Control, entryPort), "metrics": free(n.Control)}})
		f.start(n)
	}
	for _, n := range f.Guards {
		raw, _ := os.ReadFile(n.settings)
		var s map[string]map[string]any
		_ = json.Unmarshal(raw, &s)
		s["capacity"]["seeds"] = seeds
		f.write(n, s["capacity"])
	}
}
