package harness

import (
	"fmt"

	"almondstand.dev/standin/relay"
)

// RelayCallers starts a relay in front of an entry's caller API. The returned Entry
// has the relay's address in Callers; of its other fields only ID is set.
func (c *Cluster) RelayCallers(e *Entry) (*relay.Relay, *Entry, error) {
	if c.options.NoRelays {
		return nil, nil, fmt.Errorf("harness: %s: this cluster has no relays", e.ID)
	}
	r, address, err := c.startRelay(e.Callers)
	if err != nil {
		return nil, nil, err
	}
	return r, &Entry{ID: e.ID, Callers: address}, nil
}
