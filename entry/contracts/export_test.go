package contracts

import (
	"context"

	"almondstand.dev/platform"
)

// Poll reads all contracts from the store once, as Run does at its start.
func (r *Registry) Poll(ctx context.Context) bool { return r.listAll(ctx).valid }

// ApplyWatched applies a change of a key as a watch event delivers it.
func (r *Registry) ApplyWatched(ctx context.Context, kv platform.KeyValue) {
	r.applyEvents(ctx, []platform.Event{{KeyValue: kv}})
}

// RepairAll writes back everything that the store is known to lack, each key once.
func (r *Registry) RepairAll(ctx context.Context) {
	r.repairs.mu.Lock()
	keys := make(map[string]int64, len(r.repairs.keys))
	for key, modRevision := range r.repairs.keys {
		keys[key] = modRevision
	}
	r.repairs.mu.Unlock()
	for key, modRevision := range keys {
		r.repair(ctx, key, modRevision)
	}
}

// DecodeRecord decodes the value of a key.
func DecodeRecord(key string, value []byte) ([]Version, error) {
	r, err := decodeRecord(key, value)
	if err != nil {
		return nil, err
	}
	return r.versions(), nil
}
