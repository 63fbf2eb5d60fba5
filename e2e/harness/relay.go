package harness

import (
	"context"
	"fmt"
	"net"

	"almondstand.dev/entry/node"
	"almondstand.dev/settings"
	"almondstand.dev/standin/relay"
)

// StoreRelay puts a relay of its own between one entry and the store, so that
// this entry alone can be cut off. It changes the settings before the start.
func StoreRelay(ctx context.Context, s *node.Settings) (*relay.Relay, error) {
	r := relay.New(s.Platform.Addresses[0].String())
	l, err := net.Listen("tcp", NewHost()+":0")
	if err != nil {
		return nil, fmt.Errorf("harness: relay: %w", err)
	}
	go func() { _ = r.Serve(ctx, l) }()
	s.Platform.Addresses = []settings.Address{mustAddress(l.Addr().String())}
	return r, nil
}

// Cut breaks every connection through a relay and refuses new ones; Mend lets
// them through again.
func Cut(r *relay.Relay) error {
	err := r.Set(relay.State{ToTarget: relay.Drop, ToClient: relay.Drop, Refuse: true})
	r.Reset()
	return err
}

// Mend ends a Cut.
func Mend(r *relay.Relay) error {
	return r.Set(relay.State{ToTarget: relay.Pass, ToClient: relay.Pass})
}
