// Package fleet runs entries and guards as real processes on loopback
// addresses, on stand-ins of the platform's store and runners, and judges what
// callers and runners see.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/standin/metastore"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/worker"
)

// Route of the configuration that a fleet begins with.
const (
	Host    = "shop.example"
	Prefix  = "/lookup/"
	Service = "teardown"
)

// cpuOf a runner, thousandths of a core: ten tasks of DefaultTask.
const cpuOf = 32000

// entryPort is the same on every entry's IP.
const entryPort = 7720

// ErrNotReady means that an entry was not ready in time.
var ErrNotReady = errors.New("fleet: not ready in time")

// Options of a Fleet.
type Options struct {
	Binaries harness.Binaries
	Dir      string
	Entries  int
	Guards   int
	// Direct leaves out the networks between guards, runners and entries, which the test's
	// own process carries: with some 400 sessions it is a second late on a busy machine.
	Direct bool
}

// Fleet is a set of processes and stand-ins.
type Fleet struct {
	opt   Options
	Store *metastore.Store
	Judge *worker.Checker
	// Entries and Guards by number.
	Entries []*Node
	Guards  []*Node
	Runners []*worker.Runner
	// EntryNets are the networks from the guards and other entries to each entry, none with
	// Direct; RunnerNets those from each guard to its runner.
	EntryNets  []*relay.Relay
	RunnerNets []*relay.Relay

	version int
	cancel  context.CancelFunc
	running sync.WaitGroup
	stores  []*http.Server
	client  *http.Client
}

// Node is one entry or guard.
type Node struct {
	ID string
	IP string
	// Outside is the IP at which guards reach an entry, through its network.
	Outside string
	Front   string
	Ready   string
	Control string
	Metrics string
	file    string
	path    string
	args    []string

	// Restarting is held while the node is ended and started.
	Restarting sync.Mutex

	mu      sync.Mutex
	process *harness.Process
}

// Process is the node's newest life.
func (n *Node) Process() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Start begins a new life.
func (n *Node) Start() error {
	p, err := harness.Launch(n.ID, n.path, n.args...)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	return nil
}

// New starts the stand-ins and the processes.
func New(ctx context.Context, o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{opt: o, Store: metastore.New(), Judge: worker.NewChecker(), cancel: cancel, client: &http.Client{Timeout: 10 * time.Second}}
	f.Configure(Prefix)
	if err := f.plan(ctx); err != nil {
		return nil, err
	}
	for i, g := range f.Guards {
		r := &worker.Runner{Service: Service, DataCentre: "a", CPU: cpuOf, Checker: f.Judge, ControlAddress: g.Control, KeepsID: i%2 == 1}
		if err := r.Listen(g.IP); err != nil {
			return nil, err
		}
		net, address, err := network(ctx, r.Address(), harness.NewHost()+":0")
		if err != nil {
			return nil, err
		}
		if !o.Direct {
			r.Advertise = address
		}
		f.RunnerNets = append(f.RunnerNets, net)
		f.Runners = append(f.Runners, r)
		f.running.Go(func() { r.Run(ctx) })
	}
	for _, n := range append(append([]*Node{}, f.Guards...), f.Entries...) {
		if err := n.Start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// plan chooses addresses and writes the settings.
func (f *Fleet) plan(ctx context.Context) error {
	for i := range f.opt.Entries {
		n := &Node{ID: fmt.Sprintf("entry-%d", i+1), IP: harness.NewHost(), path: f.opt.Binaries.Entry}
		if err := harness.FreeAddresses(n.IP, &n.Front, &n.Ready, &n.Metrics); err != nil {
			return err
		}
		f.Entries = append(f.Entries, n)
		if f.opt.Direct {
			n.Outside = n.IP
			continue
		}
		n.Outside = harness.NewHost()
		net, _, err := network(ctx, fmt.Sprintf("%s:%d", n.IP, entryPort), fmt.Sprintf("%s:%d", n.Outside, entryPort))
		if err != nil {
			return err
		}
		f.EntryNets = append(f.EntryNets, net)
	}
	for i := range f.opt.Guards {
		n := &Node{ID: fmt.Sprintf("guard-%d", i+1), IP: harness.NewHost(), path: f.opt.Binaries.Guard}
		if err := harness.FreeAddresses(n.IP, &n.Control, &n.Metrics); err != nil {
			return err
		}
		f.Guards = append(f.Guards, n)
	}
	for _, n := range f.Entries {
		n.file = filepath.Join(f.opt.Dir, n.ID+".json")
		n.args = []string{"entry", "--settings", n.file}
		store, err := f.serveStore(n.ID)
		if err != nil {
			return err
		}
		if err := write(n.file, f.entrySettings(n, store)); err != nil {
			return err
		}
	}
	for _, n := range f.Guards {
		n.file = filepath.Join(f.opt.Dir, n.ID+".json")
		n.args = []string{"run", "--settings", n.file}
		store, err := f.serveStore(n.ID)
		if err != nil {
			return err
		}
		if err := write(n.file, f.guardSettings(n, store)); err != nil {
			return err
		}
	}
	return nil
}

// network puts a relay in front of an address.
func network(ctx context.Context, target, at string) (*relay.Relay, string, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, "", fmt.Errorf("fleet: network: %w", err)
	}
	r := relay.New(target)
	go func() { _ = r.Serve(ctx, l) }()
	return r, l.Addr().String(), nil
}

// serveStore serves the store to one caller, at an address of its own.
func (f *Fleet) serveStore(caller string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("fleet: store: %w", err)
	}
	server := &http.Server{Handler: f.Store.HandlerFor(caller)}
	f.stores = append(f.stores, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *Fleet) seeds() []string {
	var all []string
	for i, n := range f.Entries {
		if i < 3 {
			all = append(all, n.Outside+":1")
		}
	}
	return all
}

func (f *Fleet) entrySettings(n *Node, store string) any {
	return section(map[string]any{
		"id": n.ID, "zone": "a",
		"listen": map[string]string{"callers": n.Front, "ready": n.Ready, "guards": fmt.Sprintf("%s:%d", n.IP, entryPort), "advertise": fmt.Sprintf("%s:%d", n.Outside, entryPort), "metrics": n.Metrics},
		"seeds":  f.seeds(),
		"store":  store,
	})
}

func (f *Fleet) guardSettings(n *Node, store string) any {
	return section(map[string]any{
		"id": n.ID, "zone": "a",
		"listen":     map[string]string{"reports": n.Control, "metrics": n.Metrics},
		"seeds":      f.seeds(),
		"store":      store,
		"entry_port": entryPort,
	})
}

func section(s any) any { return map[string]any{"capacity": s} }

func write(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("fleet: settings: %w", err)
	}
	return os.WriteFile(path, text, 0o600)
}

// Configure writes a configuration with one route for each prefix.
func (f *Fleet) Configure(prefixes ...string) {
	f.version += 3
	f.Store.Put(metastore.ConfigKey, metastore.Config(f.version, Host, Service, prefixes...))
}

// AwaitReady waits until every entry says that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, n := range f.Entries {
		for {
			if f.IsReady(n) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %s: %s", ErrNotReady, n.ID, n.Process().Log())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// IsReady asks an entry as the balancer does.
func (f *Fleet) IsReady(n *Node) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	res, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// Close ends everything.
func (f *Fleet) Close() {
	for _, n := range append(append([]*Node{}, f.Guards...), f.Entries...) {
		if p := n.Process(); p != nil {
			p.Thaw()
			p.Kill()
		}
	}
	f.cancel()
	f.running.Wait()
	for _, s := range f.stores {
		_ = s.Close()
	}
}
