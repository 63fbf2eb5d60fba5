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

// Tokens of the harness.
const (
	OperatorToken = "operator-token"
	Secret        = "cluster-secret"
	Service       = "teardown"
)

// ErrNotReady means that a process did not become ready in time.
var ErrNotReady = errors.New("harness: not ready")

// readyLimit bounds every wait for a process to start.
const readyLimit = 30 * time.Second

// Options of a Cluster.
type Options struct {
	Binaries Binaries
	// Dir is for settings files.
	Dir     string
	Entries int
	// Spare counts entries that have their settings and are not started.
	Spare int
	// StoreRelays puts a relay of its own between each entry and the store.
	StoreRelays bool
	// Guards counts guarded endpoints, Bare the others.
	Guards      int
	Bare        int
	Slots       int
	Connections int
	// Delay is added by the relays in each direction.
	Delay time.Duration
	// NoRelays connects the processes directly.
	NoRelays bool
	// Zones are given to entries and endpoints in turn.
	Zones []string
	// EntryEnv is added to the entries' environment.
	EntryEnv []string
	// EntrySettings and GuardSettings change the settings before a start.
	EntrySettings func(*node.Settings)
	GuardSettings func(*config.Settings)
}

// Cluster is a set of running processes and stand-ins.
type Cluster struct {
	Store      *store.Store
	StoreRelay *relay.Relay
	Entries    []*Entry
	// Spare are entries that LaunchSpare starts; the others know their addresses.
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
	// Relay is in front of the internal interface; nil without relays.
	Relay *relay.Relay
	// StoreRelay is this entry's own way to the store; nil without StoreRelays.
	StoreRelay *relay.Relay
	file       string
}

// Guard is one guard process and the relays around it.
type Guard struct {
	*Process
	ID       string
	Internal string
	Local    string
	// Relay is in front of the guard, RunnerRelay between it and its runner.
	Relay *relay.Relay
	file  string
}

// Runner is one runner stand-in, in the harness's own process.
type Runner struct {
	*runner.Runner
	Address string
	// Relay is in front of the runner; nil without relays.
	Relay *relay.Relay
}

// Start starts everything and waits until it is ready.
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
	if len(o.Zones) == 0 {
		o.Zones = []string{"zone-a"}
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
		if err := c.addBare(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and stand-ins.
func (c *Cluster) Stop() {
	for _, e := range c.known() {
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
	c.StoreRelay, c.storeAddr, err = c.relayTo(address)
	return err
}

// serve serves a handler until the cluster stops and returns its address.
func (c *Cluster) serve(host string, h http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("harness: serve: %w", err)
	}
	address := l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	return address, nil
}

// relayTo puts a relay in front of an address and returns the address to use.
func (c *Cluster) relayTo(target string) (*relay.Relay, string, error) {
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

// waitReady waits until the address's /readyz says so.
func (c *Cluster) waitReady(p *Process, address string) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		if isReady(address) {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%w: %s ended: %v\n%s", ErrNotReady, p.Name, p.Err(), p.Log())
		case <-time.After(pollPause):
		}
	}
	return fmt.Errorf("%w: %s\n%s", ErrNotReady, p.Name, p.Log())
}

const pollPause = 20 * time.Millisecond

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Digest is the SHA-256 of a token, in hex.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Contract returns a generous contract for a customer whose token is Token(customer).
func Contract(customer string) contract.Contract {
	return contract.Contract{
		Client:       customer,
		State:        contract.Active,
		Rate:         20000,
		Burst:        20000,
		InFlight:     20000,
		Priority:     5,
		AnswerTime:   contract.Duration(20 * time.Second),
		RunLimit:     contract.Duration(15 * time.Second),
		Objective:    0.999,
		Services:     []string{Service},
		TokenDigests: []string{Digest(Token(customer))},
	}
}

// Token is the bearer token of a customer of the harness.
func Token(customer string) string { return "token-of-" + customer }

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
