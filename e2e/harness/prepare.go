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

func (c *Cluster) dataCentre(i int) string {
	return c.options.DataCentres[i%len(c.options.DataCentres)]
}

// prepareEntries chooses all entries' addresses before it writes any settings, since each
// entry's settings list the addresses of all entries.
func (c *Cluster) prepareEntries() error {
	total := c.options.Entries + c.options.Spare
	advertised := make([]string, total)
	for i := range total {
		e := &Entry{ID: fmt.Sprintf("entry-%d", i+1)}
		if err := e.chooseAddresses(); err != nil {
			return err
		}
		var err error
		e.Relay, advertised[i], err = c.startRelay(e.Internal)
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
	// Starting from a zero value would write explicit zeros that replace the defaults:
	// MinInFlight of 0 starves an entry while other entries keep the guards at capacity.
	s := node.Default()
	s.ID = e.ID
	s.DataCentre = c.dataCentre(i)
	s.Listen.Callers = mustAddress(e.Callers)
	s.Listen.Internal = mustAddress(e.Internal)
	s.Listen.Operators = mustAddress(e.Operators)
	s.Advertise.Internal = mustAddress(advertised[i])
	store, err := c.storeAddressFor(e)
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
	e.settingsFile = filepath.Join(c.options.Dir, e.ID+".json")
	return writeJSON(e.settingsFile, s)
}

// storeAddressFor returns the address at which one entry reaches the store.
func (c *Cluster) storeAddressFor(e *Entry) (string, error) {
	if !c.options.StoreRelays {
		return c.storeAddr, nil
	}
	var address string
	var err error
	e.StoreRelay, address, err = c.startRelay(c.storeAddr)
	return address, err
}

// allEntries returns the started and the spare entries; endpoints register with all of them.
func (c *Cluster) allEntries() []*Entry { return append(slices.Clone(c.Entries), c.Spare...) }

// LaunchSpare starts a spare entry without waiting until it is ready.
func (c *Cluster) LaunchSpare(e *Entry) error { return c.launchEntry(e) }

func (c *Cluster) launchEntry(e *Entry) error {
	p, err := start(e.ID, c.options.EntryEnv, c.options.Binaries.Entry, "entry", "--settings", e.settingsFile)
	e.Process = p
	return err
}

// RestartEntry restarts an exited entry with the same id and addresses, and waits until
// it is ready.
func (c *Cluster) RestartEntry(e *Entry) error {
	if err := c.launchEntry(e); err != nil {
		return err
	}
	return c.waitReady(e.Process, e.Operators)
}

// RestartEntryUnready is RestartEntry without waiting until the entry is ready.
func (c *Cluster) RestartEntryUnready(e *Entry) error { return c.launchEntry(e) }

// WaitEntry waits until the entry is ready.
func (c *Cluster) WaitEntry(e *Entry) error { return c.waitReady(e.Process, e.Operators) }

func (c *Cluster) addGuard(i int) error {
	g := &Guard{ID: fmt.Sprintf("guard-%d", i+1)}
	if err := FreeAddresses(NewHost(), &g.Internal, &g.Local); err != nil {
		return err
	}
	r, advertised, err := c.startRelay(g.Internal)
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
	return c.addRunner(c.dataCentre(i), []string{"http://" + g.Local})
}

func (c *Cluster) writeGuardSettings(g *Guard, i int, advertised string) error {
	s := config.Default()
	s.ID = g.ID
	s.DataCentre = c.dataCentre(i)
	s.Listen.Internal = mustAddress(g.Internal)
	s.Listen.Local = mustAddress(g.Local)
	s.Advertise = mustAddress(advertised)
	for _, e := range c.allEntries() {
		s.Balancers = append(s.Balancers, mustAddress(e.Internal))
	}
	s.Secret = Secret
	if c.options.GuardSettings != nil {
		c.options.GuardSettings(&s)
	}
	g.settingsFile = filepath.Join(c.options.Dir, g.ID+".json")
	return writeJSON(g.settingsFile, s)
}

func (c *Cluster) launchGuard(g *Guard) error {
	p, err := start(g.ID, nil, c.options.Binaries.Guard, "run", "--settings", g.settingsFile)
	g.Process = p
	return err
}

// RestartGuard restarts an exited guard with the same id and addresses.
func (c *Cluster) RestartGuard(g *Guard) error { return c.launchGuard(g) }

func (c *Cluster) addUnguarded(i int) error {
	var addresses []string
	for _, e := range c.allEntries() {
		addresses = append(addresses, "http://"+e.Internal)
	}
	return c.addRunner(c.dataCentre(i), addresses)
}

func (c *Cluster) addRunner(dataCentre string, announceTo []string) error {
	r, err := runner.New(runner.Options{
		Service:     Service,
		DataCentre:  dataCentre,
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
	relay, advertised, err := c.startRelay(address)
	if err != nil {
		return err
	}
	go func() { _ = r.Announce(c.ctx, advertised) }()
	c.Runners = append(c.Runners, &Runner{Runner: r, Address: address, Relay: relay})
	return nil
}
