// Package fleet runs entries and guards as real processes on loopback
// addresses, with stand-ins for the platform's store and runners, and checks what
// callers and runners observe.
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
	"slices"
	"sync"
	"time"

	"almondstand.dev/e2e/harness"
	"almondstand.dev/standin/metastore"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/worker"
)

// Route in the initial configuration of a fleet.
const (
	Host    = "shop.example"
	Prefix  = "/lookup/"
	Service = "teardown"
)

// runnerCPU is a runner's CPU capacity in thousandths of a core: enough for ten tasks of
// a job that NewJob returns.
const runnerCPU = 32000

// entryPort is the port for guards and peers, the same on every entry's IP.
const entryPort = 7720

// ErrNotReady is returned when an entry did not become ready in time.
var ErrNotReady = errors.New("fleet: not ready in time")

// Options configures a Fleet.
type Options struct {
	Binaries harness.Binaries
	Dir      string
	Entries  int
	Guards   int
	// NoRelays connects guards, runners and entries without relays. The relays run in the
	// test's own process, which is a second late on a busy host with some 400 sessions.
	NoRelays bool
	// DataCentres are the data centres of the guards, in turn, and of their runners; the entries are
	// in the first. Empty for a single one.
	DataCentres []string
	// Cores are the cores of the entries' hosts as named in their settings, in the order of the entries;
	// those of further entries are not named. An entry takes over jobs of others only if they are.
	Cores []float64
	// GracePeriod is the entries' time between SIGTERM and SIGKILL; zero for the default of their settings.
	GracePeriod time.Duration
	// MemoryMB and MaxFiles are the memory and the descriptors that the settings of all processes name;
	// zero for the defaults.
	MemoryMB, MaxFiles int
}

// limits adds the limits of a host to its section of the settings.
func (o Options) limits(host map[string]any) map[string]any {
	if o.MemoryMB > 0 {
		host["memory_mb"] = o.MemoryMB
	}
	if o.MaxFiles > 0 {
		host["max_files"] = o.MaxFiles
	}
	return host
}

// defaultDataCentre is the data centre of a fleet with a single one.
const defaultDataCentre = "a"

// dataCentre returns the data centre of the guard with the given index.
func (o Options) dataCentre(guard int) string {
	if len(o.DataCentres) == 0 {
		return defaultDataCentre
	}
	return o.DataCentres[guard%len(o.DataCentres)]
}

// Fleet is a set of processes and stand-ins.
type Fleet struct {
	options Options
	Store   *metastore.Store
	Checker *worker.Checker
	// Entries and Guards are ordered by the number in their ids.
	Entries []*Node
	Guards  []*Node
	Runners []*worker.Runner
	// EntryRelays holds the relay from the guards and other entries to each entry; it is empty
	// with Options.NoRelays. RunnerRelays holds the relay from each guard to its runner, which
	// is unused with Options.NoRelays.
	EntryRelays  []*relay.Relay
	RunnerRelays []*relay.Relay
	// CallerRelays holds the relay from callers to each entry, RelayedEntries the entries with
	// only its address for callers; both are empty with Options.NoRelays.
	CallerRelays   []*relay.Relay
	RelayedEntries []*Node

	configVersion int
	cancel        context.CancelFunc
	runnerLoops   sync.WaitGroup
	storeServers  []*http.Server
	client        *http.Client
}

// Node is one entry or guard, which may be restarted.
type Node struct {
	ID string
	IP string
	// AdvertisedIP is the IP at which guards and other entries reach an entry: the IP of its
	// relay, or with Options.NoRelays its own.
	AdvertisedIP   string
	CallersAddress string
	ReadyAddress   string
	ReportsAddress string
	MetricsAddress string
	// dataCentre is the data centre of a guard.
	dataCentre   string
	settingsFile string
	binary       string
	args         []string

	// Restarting is locked while the node is being restarted.
	Restarting sync.Mutex

	mu sync.Mutex
	// processes are all processes of the node, the current one last.
	processes []*harness.Process
}

// FleetAddress returns the address at which an entry accepts guards and other entries.
func (n *Node) FleetAddress() string { return fmt.Sprintf("%s:%d", n.IP, entryPort) }

// Process returns the node's most recently started process.
func (n *Node) Process() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.processes) == 0 {
		return nil
	}
	return n.processes[len(n.processes)-1]
}

// Processes returns all processes of the node, the current one last.
func (n *Node) Processes() []*harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.processes)
}

// Start starts a new process of the node.
func (n *Node) Start() error {
	p, err := harness.Launch(n.ID, n.binary, n.args...)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.processes = append(n.processes, p)
	n.mu.Unlock()
	return nil
}

// New starts the stand-ins and the processes. It does not wait until they are ready.
func New(ctx context.Context, o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{options: o, Store: metastore.New(), Checker: worker.NewChecker(), cancel: cancel, client: &http.Client{Timeout: 10 * time.Second}}
	f.Configure(Prefix)
	if err := f.prepareNodes(ctx); err != nil {
		return nil, err
	}
	for i, g := range f.Guards {
		r := &worker.Runner{Service: Service, DataCentre: o.dataCentre(i), CPU: runnerCPU, Checker: f.Checker, ControlAddress: g.ReportsAddress, KeepsID: i%2 == 1}
		if err := r.Listen(g.IP); err != nil {
			return nil, err
		}
		relay, address, err := startRelay(ctx, r.Address(), harness.NewHost()+":0")
		if err != nil {
			return nil, err
		}
		if !o.NoRelays {
			r.Advertise = address
		}
		f.RunnerRelays = append(f.RunnerRelays, relay)
		f.Runners = append(f.Runners, r)
		f.runnerLoops.Go(func() { r.Run(ctx) })
	}
	for _, n := range append(append([]*Node{}, f.Guards...), f.Entries...) {
		if err := n.Start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// prepareNodes chooses the nodes' addresses, starts the entries' relays and writes the
// settings files.
func (f *Fleet) prepareNodes(ctx context.Context) error {
	for i := range f.options.Entries {
		n := &Node{ID: fmt.Sprintf("entry-%d", i+1), IP: harness.NewHost(), binary: f.options.Binaries.Entry}
		if err := harness.FreeAddresses(n.IP, &n.CallersAddress, &n.ReadyAddress, &n.MetricsAddress); err != nil {
			return err
		}
		f.Entries = append(f.Entries, n)
		if f.options.NoRelays {
			n.AdvertisedIP = n.IP
			continue
		}
		n.AdvertisedIP = harness.NewHost()
		relay, _, err := startRelay(ctx, fmt.Sprintf("%s:%d", n.IP, entryPort), fmt.Sprintf("%s:%d", n.AdvertisedIP, entryPort))
		if err != nil {
			return err
		}
		f.EntryRelays = append(f.EntryRelays, relay)
		callerRelay, address, err := startRelay(ctx, n.CallersAddress, harness.NewHost()+":0")
		if err != nil {
			return err
		}
		f.CallerRelays = append(f.CallerRelays, callerRelay)
		f.RelayedEntries = append(f.RelayedEntries, &Node{ID: n.ID, CallersAddress: address})
	}
	for i := range f.options.Guards {
		n := &Node{ID: fmt.Sprintf("guard-%d", i+1), dataCentre: f.options.dataCentre(i), IP: harness.NewHost(), binary: f.options.Binaries.Guard}
		if err := harness.FreeAddresses(n.IP, &n.ReportsAddress, &n.MetricsAddress); err != nil {
			return err
		}
		f.Guards = append(f.Guards, n)
	}
	for _, n := range f.Entries {
		n.settingsFile = filepath.Join(f.options.Dir, n.ID+".json")
		n.args = []string{"entry", "--settings", n.settingsFile}
		store, err := f.serveStore(n.ID)
		if err != nil {
			return err
		}
		if err := writeSettings(n.settingsFile, f.entrySettings(n, store)); err != nil {
			return err
		}
	}
	for _, n := range f.Guards {
		n.settingsFile = filepath.Join(f.options.Dir, n.ID+".json")
		n.args = []string{"run", "--settings", n.settingsFile}
		store, err := f.serveStore(n.ID)
		if err != nil {
			return err
		}
		if err := writeSettings(n.settingsFile, f.guardSettings(n, store)); err != nil {
			return err
		}
	}
	return nil
}

// startRelay starts a relay that listens on an address and forwards to target.
func startRelay(ctx context.Context, target, listenAddress string) (*relay.Relay, string, error) {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, "", fmt.Errorf("fleet: relay: %w", err)
	}
	r := relay.New(target)
	go func() { _ = r.Serve(ctx, l) }()
	return r, l.Addr().String(), nil
}

// serveStore starts a server of the store for one node, so that the store can inject
// faults per caller, and returns its address.
func (f *Fleet) serveStore(caller string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("fleet: store: %w", err)
	}
	server := &http.Server{Handler: f.Store.HandlerFor(caller)}
	f.storeServers = append(f.storeServers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *Fleet) seeds() []string {
	var addresses []string
	for i, n := range f.Entries {
		if i < 3 {
			addresses = append(addresses, n.AdvertisedIP+":1")
		}
	}
	return addresses
}

func (f *Fleet) entrySettings(n *Node, store string) any {
	host := map[string]any{}
	if i := slices.Index(f.Entries, n); i < len(f.options.Cores) {
		host["cores"] = f.options.Cores[i]
	}
	bounds := map[string]string{}
	if f.options.GracePeriod > 0 {
		bounds["grace"] = f.options.GracePeriod.String()
	}
	return capacitySection(map[string]any{
		"host": f.options.limits(host), "bounds": bounds,
		"id": n.ID, "zone": f.options.dataCentre(0),
		"listen": map[string]string{"callers": n.CallersAddress, "ready": n.ReadyAddress, "guards": fmt.Sprintf("%s:%d", n.IP, entryPort), "advertise": fmt.Sprintf("%s:%d", n.AdvertisedIP, entryPort), "metrics": n.MetricsAddress},
		"seeds":  f.seeds(),
		"store":  store,
	})
}

func (f *Fleet) guardSettings(n *Node, store string) any {
	return capacitySection(map[string]any{
		"id": n.ID, "zone": n.dataCentre,
		"listen":     map[string]string{"reports": n.ReportsAddress, "metrics": n.MetricsAddress},
		"seeds":      f.seeds(),
		"store":      store,
		"entry_port": entryPort,
	})
}

func capacitySection(settings any) any { return map[string]any{"capacity": settings} }

func writeSettings(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("fleet: settings: %w", err)
	}
	return os.WriteFile(path, text, 0o600)
}

// Configure writes a new version of the configuration to the store, with one route for
// each prefix.
func (f *Fleet) Configure(prefixes ...string) {
	f.configVersion += 3
	f.Store.Put(metastore.ConfigKey, metastore.Config(f.configVersion, Host, Service, prefixes...))
}

// Cordon cordons a data centre, as the operator does.
func (f *Fleet) Cordon(dataCentre string) {
	f.Store.Put(metastore.CordonKey(dataCentre), []byte("{}"))
	f.Checker.Cordon(dataCentre)
}

// Uncordon takes a data centre back.
func (f *Fleet) Uncordon(dataCentre string) {
	f.Checker.Uncordon(dataCentre)
	f.Store.Delete(metastore.CordonKey(dataCentre))
}

// AwaitReady waits until every entry's readiness check succeeds.
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

// IsReady checks an entry's readiness as the platform's load balancer does.
func (f *Fleet) IsReady(n *Node) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	res, err := client.Get("http://" + n.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// Close kills all processes and stops the stand-ins.
func (f *Fleet) Close() {
	for _, n := range append(append([]*Node{}, f.Guards...), f.Entries...) {
		if p := n.Process(); p != nil {
			p.Resume()
			p.Kill()
		}
	}
	f.cancel()
	f.runnerLoops.Wait()
	for _, s := range f.storeServers {
		_ = s.Close()
	}
}
