package follower

import (
	"context"
	"log/slog"

	"almondstand.dev/contract/cordon"
	"almondstand.dev/platform/operator"
	"almondstand.dev/platform/store"
)

// operatorKeys is what operators have written to the store.
type operatorKeys struct {
	config      store.Item
	configFound bool
	cordons     *cordon.Set
}

// readOperatorKeys reads the configuration and the cordoned data centres, in one call unless the
// operators' keys exceed one page.
func (f *Follower) readOperatorKeys(ctx context.Context) (operatorKeys, error) {
	page, err := f.store.Range(ctx, operator.Prefix)
	if err != nil {
		return operatorKeys{}, err
	}
	k := operatorKeys{cordons: cordonsOf(page)}
	for _, i := range page.Items {
		if i.Key == operator.Key {
			k.config, k.configFound = i, true
		}
	}
	if !page.More {
		return k, nil
	}
	// Pages of one range are read at different revisions: a cordon that was removed between two
	// of them could be seen at neither the older nor the newer revision.
	page, err = f.store.Range(ctx, operator.CordonPrefix)
	if err != nil {
		return operatorKeys{}, err
	}
	k.cordons = cordonsOf(page)
	if !k.configFound {
		k.config, k.configFound, err = f.store.Get(ctx, operator.Key)
	}
	return k, err
}

// cordonsOf returns the data centres that are cordoned by the keys of a page.
func cordonsOf(page store.Page) *cordon.Set {
	var dataCentres []string
	for _, i := range page.Items {
		if dc, ok := operator.CordonedDataCentre(i.Key); ok {
			dataCentres = append(dataCentres, dc)
		}
	}
	return cordon.New(page.Revision, dataCentres)
}

// OnCordons sets the function that is called with each newer set of cordoned data centres. It must
// be called before Run.
func (f *Follower) OnCordons(changed func(*cordon.Set)) { f.cordonsChanged = changed }

// Cordons returns the cordoned data centres, or nil while they are unknown.
func (f *Follower) Cordons() *cordon.Set { return f.cordons.Load() }

// ApplyCordons applies cordoned data centres from the store or from another entry. A set that is
// not newer is ignored.
func (f *Follower) ApplyCordons(ctx context.Context, set *cordon.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.cordons.Load()
	if !set.Newer(previous) {
		return
	}
	f.cordons.Store(set)
	f.signalTable()
	if !set.Same(previous) {
		eventCordons.Log(ctx, f.logger, slog.Int64("revision", set.Revision), slog.Any("data_centres", set.DataCentres()))
	}
	if f.cordonsChanged != nil {
		f.cordonsChanged(set)
	}
}
