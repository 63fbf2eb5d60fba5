package contracts

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"almondstand.dev/platform"
)

// repairs are the keys for which the store holds an older version than the one in force,
// or none, with the store's revision of the key.
type repairs struct {
	mu   *sync.Mutex
	keys map[string]int64
}

func newRepairs() repairs { return repairs{mu: &sync.Mutex{}, keys: map[string]int64{}} }

func (r repairs) add(key string, modRevision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[key] = modRevision
}

func (r repairs) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.keys, key)
}

// pick returns one key that needs repair; map iteration order is random, so several
// entries seldom choose the same one.
func (r repairs) pick() (key string, modRevision int64, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, modRevision := range r.keys {
		return key, modRevision, true
	}
	return "", 0, false
}

// runRepairs writes the versions in force back to a store that lost them, one key at a
// time with a pause. All entries do so: the compare-and-swap lets one succeed, and the
// others see its write on their watch and drop theirs.
func (r *Registry) runRepairs(ctx context.Context) error {
	for ctx.Err() == nil {
		r.sleep(ctx, 4*r.opts.RepairPause/3)
		key, modRevision, found := r.repairs.pick()
		if found && ctx.Err() == nil {
			r.repair(ctx, key, modRevision)
		}
	}
	return nil
}

// repairTimeout bounds one repair write.
const repairTimeout = 5 * time.Second

func (r *Registry) repair(ctx context.Context, key string, modRevision int64) {
	h, found := r.current.Load().byClient[strings.TrimPrefix(key, Prefix)]
	if !found {
		r.repairs.remove(key)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	result, err := r.opts.Store.CompareAndSwap(callCtx, key, modRevision, h.value, 0)
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		r.repairs.remove(key)
	case err != nil:
		// Retried later: if the write took effect after all, the watch shows it, and a second
		// one fails its comparison.
	case result.Swapped:
		r.repairs.remove(key)
		// Only a successful swap proves that the store had gone back. A resumed watch delivers
		// old changes of a key again, of which a peer already sent the newest.
		if modRevision > 0 {
			eventOlderRefused.Log(ctx, r.opts.Logger, slog.String("key", key), slog.Int64("in_force", h.record.Revision))
		}
		eventRepaired.Log(ctx, r.opts.Logger, slog.String("key", key), slog.Int64("revision", h.record.Revision))
	case result.Current == nil:
		r.repairs.add(key, 0)
	default:
		r.applyStored(ctx, []platform.KeyValue{*result.Current})
	}
}
