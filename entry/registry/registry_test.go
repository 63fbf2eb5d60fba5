package registry

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/wire/wirev1"
)

type noConfig struct{ Config }

func (noConfig) Held() (int64, []byte) { return 0, nil }

func registryAt(address string) *Registry {
	return New(Options{
		Entry:   address,
		Address: address,
		Seeds:   func() []string { return nil },
		Logger:  slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}, nil, noConfig{})
}

// meet has a ask b, as exchange does.
func meet(t *testing.T, a, b *Registry) {
	t.Helper()
	res, err := b.Meet(t.Context(), connect.NewRequest(&wirev1.MeetRequest{Entry: a.opt.Entry, Address: a.opt.Address}))
	assert.NilError(t, err)
	a.hear(res.Msg.GetEntries())
	a.Hint([]string{b.opt.Address})
}

// A host is replaced by one at another address. Entries that told each other whatever
// they had heard kept its address for good: every guard went on dialing it, and with 220
// hosts replaced a day the list would grow without end. What nobody has met for a while
// must be dropped by all, however often they meet each other.
func TestAddressOfALostEntryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := registryAt("10.0.0.1:1"), registryAt("10.0.0.2:1"), registryAt("10.0.0.3:1")
		a.Hint([]string{"10.0.0.9:1"})
		for range 20 {
			meet(t, a, b)
			meet(t, b, c)
			meet(t, c, a)
			time.Sleep(2 * time.Second)
		}
		for _, r := range []*Registry{a, b, c} {
			r.Hint(nil)
			known, _ := r.Known()
			assert.Assert(t, !slices.Contains(known, "10.0.0.9:1"), "%s: %v", r.opt.Entry, known)
			assert.Equal(t, len(known), 3, "%v", known)
		}
	})
}

// An entry that no settings name must still be learnt of by all, through one that has met it.
func TestEntryIsLearntOfThroughOthers(t *testing.T) {
	a, b, c := registryAt("10.0.0.1:1"), registryAt("10.0.0.2:1"), registryAt("10.0.0.3:1")
	meet(t, c, b)
	meet(t, a, b)
	known, _ := a.Known()
	assert.DeepEqual(t, known, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
}
