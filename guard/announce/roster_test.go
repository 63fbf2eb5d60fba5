package announce

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wirev1 "almondstand.dev/wire/wirev1"
)

const (
	balancer = "10.0.0.1:7001"
	interval = 3 * time.Second
)

var epoch = time.Unix(1000, 0)

func entry(name string, incarnation uint64) *wirev1.EntryInfo {
	return &wirev1.EntryInfo{Id: name, Incarnation: incarnation, Address: name + ":1"}
}

func response(entries ...*wirev1.EntryInfo) *wirev1.AnnounceResponse {
	return &wirev1.AnnounceResponse{NextMs: uint32(interval.Milliseconds()), Attach: entries}
}

func newTestRoster() *roster {
	return newRoster(epoch, []string{balancer}, rand.New(rand.NewPCG(1, 2)))
}

// dueIDs returns the ids of the targets that are due.
func dueIDs(o *roster, now time.Time) []string {
	due, _ := o.next(now)
	var out []string
	for _, t := range due {
		out = append(out, t.id)
	}
	slices.Sort(out)
	return out
}

// newAttachedRoster returns a roster that knows the given entries and has
// announced to all of them.
func newAttachedRoster(t *testing.T, entries ...*wirev1.EntryInfo) *roster {
	o := newTestRoster()
	assert.DeepEqual(t, dueIDs(o, epoch), []string{balancer})
	o.responded(epoch, o.targets[balancer], response(entries...))
	due, _ := o.next(epoch)
	assert.Equal(t, len(due), len(entries))
	for _, d := range due {
		o.responded(epoch, d, response(entries...))
	}
	return o
}

// The balancer's response lists all entries. Each must be announced to at once
// and then at its interval, which jitter may shorten but never lengthen.
func TestEntriesAreDiscoveredAndAnnouncedTo(t *testing.T) {
	o := newAttachedRoster(t, entry("a", 1), entry("b", 1))
	assert.Equal(t, len(dueIDs(o, epoch)), 0)
	early := epoch.Add(interval * 7 / 10)
	assert.Equal(t, len(dueIDs(o, early)), 0)
	assert.DeepEqual(t, dueIDs(o, epoch.Add(interval)), []string{"a", "b"})
}

// The announced state changes while a call with the old state is in flight. All
// entries must be announced to at once, and the one in flight again after its
// response.
func TestChangeIsAnnouncedAtOnce(t *testing.T) {
	o := newAttachedRoster(t, entry("a", 1), entry("b", 1))
	now := epoch.Add(interval)
	due, _ := o.next(now)
	assert.Equal(t, len(due), 2)
	o.responded(now, due[0], response(entry("a", 1), entry("b", 1)))
	o.announceNow(now)
	assert.DeepEqual(t, dueIDs(o, now), []string{due[0].id})
	o.responded(now, due[1], response(entry("a", 1), entry("b", 1)))
	assert.DeepEqual(t, dueIDs(o, now), []string{due[1].id})
}

// The balancer must be called every 30 s to discover unlisted entries. Where
// entries ask for long intervals, because they have many guards, it must be
// called less often, but at least every five minutes.
func TestDiscoveryIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct{ requested, due time.Duration }{
		{interval, discoveryInterval}, {20 * time.Second, 100 * time.Second}, {time.Minute, maxInterval},
	} {
		o := newAttachedRoster(t, entry("a", 1))
		longInterval := response(entry("a", 1))
		longInterval.NextMs = uint32(c.requested.Milliseconds())
		o.responded(epoch, o.targets["a"], longInterval)
		o.responded(epoch, o.targets[balancer], longInterval)
		_, _ = o.next(epoch.Add(c.due * 7 / 10))
		assert.Assert(t, !o.targets[balancer].inFlight, "%s: too early", c.requested)
		_, _ = o.next(epoch.Add(c.due))
		assert.Assert(t, o.targets[balancer].inFlight, "%s: too late", c.requested)
	}
}

// No entry responds for an hour (a network partition). All must be kept and
// retried with growing delays, and the balancer must be called too. The first to
// respond afterwards has just restarted and lists only itself: the others must
// stay.
func TestEntriesAreKeptThroughFailures(t *testing.T) {
	o := newAttachedRoster(t, entry("a", 1), entry("b", 1))
	now, calls := epoch.Add(interval), 0
	due, _ := o.next(now)
	for _, d := range due {
		o.failed(now, d)
	}
	assert.DeepEqual(t, dueIDs(o, now.Add(firstRetry)), []string{balancer, "a", "b"})
	for _, d := range append(due, o.targets[balancer]) {
		o.failed(now, d)
	}
	for now.Before(epoch.Add(time.Hour)) {
		due, wake := o.next(now)
		for _, d := range due {
			calls++
			o.failed(now, d)
		}
		if len(due) == 0 {
			now = wake
		}
	}
	assert.Equal(t, len(o.entries()), 2)
	assert.Assert(t, calls > 2000 && calls < 4000, "%d calls", calls)
	a := o.targets["a"]
	o.responded(now, a, response(entry("a", 2)))
	assert.Equal(t, len(o.entries()), 2)
	assert.DeepEqual(t, dueIDs(o, now)[:1], []string{"a"})
}

// An entry is shut down, and the others no longer list it. It must be removed
// after some intervals.
func TestUnlistedEntryIsRemoved(t *testing.T) {
	o := newAttachedRoster(t, entry("a", 1), entry("b", 1))
	now := epoch
	for range 2 * unlistedRounds {
		now = now.Add(interval)
		due, _ := o.next(now)
		for _, d := range due {
			if d.id == "a" {
				o.responded(now, d, response(entry("a", 1)))
				continue
			}
			o.failed(now, d)
		}
	}
	assert.Equal(t, len(o.entries()), 1)
	assert.Assert(t, o.targets["a"] != nil)
}

// An entry restarts. Its new incarnation must be announced to at once, and a
// delayed response that lists the previous one must change nothing.
func TestNewIncarnationIsAnnouncedToAtOnce(t *testing.T) {
	o := newAttachedRoster(t, entry("a", 1), entry("b", 1))
	c := o.responded(epoch, o.targets["b"], response(entry("a", 2), entry("b", 1)))
	assert.Equal(t, len(c.attached), 1)
	assert.DeepEqual(t, dueIDs(o, epoch), []string{"a"})
	c = o.responded(epoch, o.targets["b"], response(entry("a", 1), entry("b", 1)))
	assert.Equal(t, len(c.attached), 0)
	assert.Equal(t, o.targets["a"].incarnation, uint64(2))
}

// A response that lists any number of entries, or asks for an interval of zero,
// must cause neither unbounded memory use nor a flood of announcements.
func TestResponsesAreBounded(t *testing.T) {
	o := newTestRoster()
	_, _ = o.next(epoch)
	many := response()
	many.NextMs = 0
	for i := range 10 * maxEntries {
		many.Attach = append(many.Attach, entry(fmt.Sprint("e", i), 1))
	}
	o.responded(epoch, o.targets[balancer], many)
	assert.Equal(t, len(o.entries()), maxEntries)
	due, _ := o.next(epoch)
	for _, d := range due {
		o.responded(epoch, d, many)
	}
	assert.Equal(t, len(dueIDs(o, epoch.Add(minInterval/2))), 0)
}
