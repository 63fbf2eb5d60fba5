package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/entry/node"
	"almondstand.dev/guard/config"
	"almondstand.dev/settings"
	"almondstand.dev/standin/relay"
	"almondstand.dev/standin/runner"
	"almondstand.dev/standin/store"
)

// Credentials of the harness, and the service of its runners.
const (
	OperatorToken = "operator-token"
	Secret        = "cluster-secret"
	Service       = "teardown"
)

// ErrNotReady is returned when a process did not become ready in time.
var ErrNotReady = errors.New("harness: not ready")

// readyTimeout is the maximum time to wait for a process to become ready.
const readyTimeout = 30 * time.Second

// Options configures a Cluster.
type Options struct {
	Binaries Binaries
	// Dir is the folder of the processes' settings files.
	Dir     string
	Entries int
	// Spare is the number of further entries that are configured and not started.
	Spare int
	// StoreRelays adds a separate relay between each entry and the store.
	StoreRelays bool
	// Guards is the number of endpoints with a guard, Bare that of endpoints without one.
	Guards      int
	Bare        int
	Slots       int
	Connections int
	// Delay is the latency that the relays add in each direction.
	Delay time.Duration
	// NoRelays connects the processes without relays.
	NoRelays bool
	// DataCentres are the data centres, assigned to entries and endpoints round-robin.
	DataCentres []string
	// EntryEnv is added to the entries' environment.
	EntryEnv []string
	// EntrySettings and GuardSettings modify the settings before they are written.
	EntrySettings func(*node.Settings)
	GuardSettings func(*config.Settings)
}

// Cluster is a set of running processes and stand-ins.
type Cluster struct {
	Store      *store.Store
	StoreRelay *relay.Relay
	Entries    []*Entry
	// Spare holds the entries that LaunchSpare starts. Their addresses are in the settings
	// of all other processes from the beginning.
	Spare   []*Entry
	Guards  []*Guard
	Runners []*Runner

	options   Options
	ctx       context.Context
	stop      context.CancelFunc
	storeAddr string
}

// Entry is one entry process.
type Entry struct {
	*Process
	ID        string
	Callers   string
	Internal  string
	Operators string
	// Relay forwards to the internal API; nil if the cluster has no relays.
	Relay *relay.Relay
	// StoreRelay forwards from this entry alone to the store; nil without Options.StoreRelays.
	StoreRelay   *relay.Relay
	settingsFile string
}

// Guard is one guard process and the relay in front of it.
type Guard struct {
	*Process
	ID       string
	Internal string
	Local    string
	// Relay forwards to the guard; Runner.Relay is between the guard and its runner.
	Relay        *relay.Relay
	settingsFile string
}

// Runner is one simulated runner, which runs within the harness's process.
type Runner struct {
	*runner.Runner
	Address string
	// Relay forwards to the runner; nil if the cluster has no relays.
	Relay *relay.Relay
}

// Start starts all processes and stand-ins, and waits until the entries are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	o = withDefaults(o)
	ctx, stop := context.WithCancel(ctx)
	c := &Cluster{options: o, ctx: ctx, stop: stop}
	if err := c.startAll(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func withDefaults(o Options) Options {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"zone-a"}
	}
	return o
}

func (c *Cluster) startAll() error {
	if err := c.startStore(); err != nil {
		return err
	}
	if err := c.prepareEntries(); err != nil {
		return err
	}
	for _, e := range c.Entries {
		if err := c.launchEntry(e); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := c.waitReady(e.Process, e.Operators); err != nil {
			return err
		}
	}
	for i := range c.options.Guards {
		if err := c.addGuard(i); err != nil {
			return err
		}
	}
	for i := range c.options.Bare {
		if err := c.addUnguarded(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all processes and stops the stand-ins.
func (c *Cluster) Stop() {
	for _, e := range c.allEntries() {
		if e.Process != nil {
			e.Kill()
		}
	}
	for _, g := range c.Guards {
		if g.Process != nil {
			g.Kill()
		}
	}
	c.stop()
}

func (c *Cluster) startStore() error {
	c.Store = store.New(time.Now)
	go func() { _ = c.Store.Run(c.ctx) }()
	address, err := c.serve(NewHost(), c.Store, nil)
	if err != nil {
		return err
	}
	c.storeAddr = address
	c.StoreRelay, c.storeAddr, err = c.startRelay(address)
	return err
}

// serve starts an HTTP server that runs until the cluster stops, and returns its address.
func (c *Cluster) serve(host string, h http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("harness: serve: %w", err)
	}
	address := l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	return address, nil
}

// startRelay starts a relay to an address and returns the address to connect to, which
// is the target itself if the cluster has no relays.
func (c *Cluster) startRelay(target string) (*relay.Relay, string, error) {
	if c.options.NoRelays {
		return nil, target, nil
	}
	r := relay.New(target)
	if err := r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass, Delay: c.options.Delay}); err != nil {
		return nil, "", fmt.Errorf("harness: relay: %w", err)
	}
	l, err := net.Listen("tcp", NewHost()+":0")
	if err != nil {
		return nil, "", fmt.Errorf("harness: relay: %w", err)
	}
	go func() { _ = r.Serve(c.ctx, l) }()
	return r, l.Addr().String(), nil
}

// waitReady waits until /readyz at the address reports that the process is ready.
func (c *Cluster) waitReady(p *Process, address string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if isReady(address) {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%w: %s exited: %v\n%s", ErrNotReady, p.Name, p.Err(), p.Log())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("%w: %s\n%s", ErrNotReady, p.Name, p.Log())
}

const pollInterval = 20 * time.Millisecond

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Digest returns the SHA-256 of a token in hexadecimal.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Contract returns a contract with high limits for a client account whose bearer token
// is Token(account).
func Contract(account string) contract.Contract {
	return contract.Contract{
		Client:       account,
		State:        contract.Active,
		Rate:         20000,
		Burst:        20000,
		InFlight:     20000,
		Priority:     5,
		AnswerTime:   contract.Duration(20 * time.Second),
		RunLimit:     contract.Duration(15 * time.Second),
		Objective:    0.999,
		Services:     []string{Service},
		TokenDigests: []string{Digest(Token(account))},
	}
}

// Token returns the bearer token of a client account.
func Token(account string) string { return "token-of-" + account }

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("harness: %s: %w", path, err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}

func mustAddress(text string) settings.Address {
	var a settings.Address
	if err := a.UnmarshalJSON([]byte(`"` + text + `"`)); err != nil {
		panic(err)
	}
	return a
}
