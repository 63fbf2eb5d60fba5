package harness

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"

	"almondstand.dev/entry/node"
	"almondstand.dev/guard/config"
	"almondstand.dev/settings"
	"almondstand.dev/standin/runner"
)

func (c *Cluster) zone(i int) string { return c.options.Zones[i%len(c.options.Zones)] }

// prepareEntries chooses all addresses first, since entries name each other.
func (c *Cluster) prepareEntries() error {
	all := c.options.Entries + c.options.Spare
	advertised := make([]string, all)
	for i := range all {
		e := &Entry{ID: fmt.Sprintf("entry-%d", i+1)}
		if err := e.chooseAddresses(); err != nil {
			return err
		}
		var err error
		e.Relay, advertised[i], err = c.relayTo(e.Internal)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, e)
	}
	for i, e := range c.Entries {
		if err := c.writeEntrySettings(e, i, advertised); err != nil {
			return err
		}
	}
	c.Spare = c.Entries[c.options.Entries:]
	c.Entries = c.Entries[:c.options.Entries:c.options.Entries]
	return nil
}

func (e *Entry) chooseAddresses() error {
	return FreeAddresses(NewHost(), &e.Callers, &e.Internal, &e.Operators)
}

func (c *Cluster) writeEntrySettings(e *Entry, i int, advertised []string) error {
	// From a zero value, each zero that is written out would stand in place of its
	// default: a floor of 0 starves an entry while others keep the guards full.
	s := node.Default()
	s.ID = e.ID
	s.DataCentre = c.zone(i)
	s.Listen.Callers = mustAddress(e.Callers)
	s.Listen.Internal = mustAddress(e.Internal)
	s.Listen.Operators = mustAddress(e.Operators)
	s.Advertise.Internal = mustAddress(advertised[i])
	store, err := c.storeFor(e)
	if err != nil {
		return err
	}
	s.Platform.Addresses = []settings.Address{mustAddress(store)}
	for _, a := range advertised {
		s.Peers.Seeds = append(s.Peers.Seeds, mustAddress(a))
	}
	s.Peers.Secret = Secret
	s.Operators.TokenDigest = Digest(OperatorToken)
	s.Log.Level = "info"
	if c.options.EntrySettings != nil {
		c.options.EntrySettings(&s)
	}
	e.file = filepath.Join(c.options.Dir, e.ID+".json")
	return writeJSON(e.file, s)
}

// storeFor returns the address of the store for one entry.
func (c *Cluster) storeFor(e *Entry) (string, error) {
	if !c.options.StoreRelays {
		return c.storeAddr, nil
	}
	var address string
	var err error
	e.StoreRelay, address, err = c.relayTo(c.storeAddr)
	return address, err
}

// known are the entries that endpoints announce themselves to.
func (c *Cluster) known() []*Entry { return append(slices.Clone(c.Entries), c.Spare...) }

// LaunchSpare starts a spare entry and doesn't wait for it.
func (c *Cluster) LaunchSpare(e *Entry) error { return c.launchEntry(e) }

func (c *Cluster) launchEntry(e *Entry) error {
	p, err := start(e.ID, c.options.EntryEnv, c.options.Binaries.Entry, "entry", "--settings", e.file)
	e.Process = p
	return err
}

// RestartEntry starts an ended entry again under its id and addresses.
func (c *Cluster) RestartEntry(e *Entry) error {
	if err := c.launchEntry(e); err != nil {
		return err
	}
	return c.waitReady(e.Process, e.Operators)
}

// RestartEntryUnready is RestartEntry without waiting for readiness.
func (c *Cluster) RestartEntryUnready(e *Entry) error { return c.launchEntry(e) }

// WaitEntry waits until the entry is ready.
func (c *Cluster) WaitEntry(e *Entry) error { return c.waitReady(e.Process, e.Operators) }

func (c *Cluster) addGuard(i int) error {
	g := &Guard{ID: fmt.Sprintf("guard-%d", i+1)}
	if err := FreeAddresses(NewHost(), &g.Internal, &g.Local); err != nil {
		return err
	}
	r, advertised, err := c.relayTo(g.Internal)
	if err != nil {
		return err
	}
	g.Relay = r
	if err := c.writeGuardSettings(g, i, advertised); err != nil {
		return err
	}
	if err := c.launchGuard(g); err != nil {
		return err
	}
	c.Guards = append(c.Guards, g)
	return c.addRunner(c.zone(i), []string{"http://" + g.Local})
}

func (c *Cluster) writeGuardSettings(g *Guard, i int, advertised string) error {
	s := config.Default()
	s.ID = g.ID
	s.DataCentre = c.zone(i)
	s.Listen.Internal = mustAddress(g.Internal)
	s.Listen.Local = mustAddress(g.Local)
	s.Advertise = mustAddress(advertised)
	for _, e := range c.known() {
		s.Balancers = append(s.Balancers, mustAddress(e.Internal))
	}
	s.Secret = Secret
	if c.options.GuardSettings != nil {
		c.options.GuardSettings(&s)
	}
	g.file = filepath.Join(c.options.Dir, g.ID+".json")
	return writeJSON(g.file, s)
}

func (c *Cluster) launchGuard(g *Guard) error {
	p, err := start(g.ID, nil, c.options.Binaries.Guard, "run", "--settings", g.file)
	g.Process = p
	return err
}

// RestartGuard starts an ended guard again under its id and addresses.
func (c *Cluster) RestartGuard(g *Guard) error { return c.launchGuard(g) }

func (c *Cluster) addBare(i int) error {
	var targets []string
	for _, e := range c.known() {
		targets = append(targets, "http://"+e.Internal)
	}
	return c.addRunner(c.zone(i), targets)
}

func (c *Cluster) addRunner(zone string, announceTo []string) error {
	r, err := runner.New(runner.Options{
		Service:     Service,
		DataCentre:  zone,
		Slots:       c.options.Slots,
		Connections: c.options.Connections,
		AnnounceTo:  announceTo,
		Secret:      Secret,
		TTL:         runner.DefaultTTL,
		Logger:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	address, err := c.serve(NewHost(), r.Handler(), r.Listener)
	if err != nil {
		return err
	}
	front, advertised, err := c.relayTo(address)
	if err != nil {
		return err
	}
	go func() { _ = r.Announce(c.ctx, advertised) }()
	c.Runners = append(c.Runners, &Runner{Runner: r, Address: address, Relay: front})
	return nil
}
