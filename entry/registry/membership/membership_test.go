package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against entries that are never forgotten: if the time that an answer takes were not
// counted, two entries that answer each other slowly would keep a third one that is gone alive.
func TestSlowAnswersKeepNoGoneEntry(t *testing.T) {
	a, b := New("a", start), New("b", start)
	for _, l := range []*List{a, b} {
		l.Listed([]string{"a", "b", "gone"}, start)
		l.Update(start)
	}
	const slow = 450 * time.Millisecond
	now := start
	ask := func(from, to *List) {
		had, digest, asked := from.Addresses(), from.Digest(), now
		answer := to.Answer(digest, now.Add(slow))
		now = now.Add(slow)
		from.Merge(answer, had, asked)
		from.Seen([]string{to.self}, now)
		from.Update(now)
	}
	for now.Before(start.Add(ttl + time.Second)) {
		ask(a, b)
		ask(b, a)
	}
	assert.DeepEqual(t, a.Addresses(), []string{"a", "b"})
	assert.DeepEqual(t, b.Addresses(), []string{"a", "b"})
}

// Guards against entries that forget one that the store has dropped although it is alive: what one
// of them hears must reach the others although their lists are equal.
func TestEntryThatOneOtherHearsStaysKnown(t *testing.T) {
	a, b := New("a", start), New("b", start)
	for now := start; now.Before(start.Add(10 * ttl)); now = now.Add(time.Second) {
		b.Seen([]string{"unlisted"}, now)
		b.Listed([]string{"a", "b"}, now)
		b.Update(now)
		a.Merge(b.Answer(a.Digest(), now), a.Addresses(), now)
		a.Update(now)
		assert.DeepEqual(t, a.Addresses(), []string{"a", "b", "unlisted"})
	}
}

// Guards against guards that wait for an entry without others, and against an entry that ends its
// discovery while its list grows.
func TestDiscoveryEnds(t *testing.T) {
	alone := New("a", start)
	alone.Update(start.Add(maxDiscovery - 1))
	assert.Equal(t, alone.Phase(), Discovering)
	alone.Update(start.Add(maxDiscovery))
	assert.Equal(t, alone.Phase(), Settled)

	l, other := New("a", start), New("b", start)
	for i := range 10 {
		other.Seen([]string{string(rune('c' + i))}, start)
		other.Update(start)
		l.Merge(other.Answer(l.Digest(), start), l.Addresses(), start)
		l.Update(start)
		assert.Equal(t, l.Phase(), Discovering, "exchange %d", i)
	}
	other.Seen([]string{"a"}, start)
	other.Update(start)
	for range quietExchanges {
		assert.Equal(t, l.Phase(), Discovering)
		l.Merge(other.Answer(l.Digest(), start), l.Addresses(), start)
		l.Update(start)
	}
	assert.Equal(t, l.Phase(), Settled)
	assert.Equal(t, l.Snapshot().Version, uint64(12), "ten changes of the list and one of the phase")
}

func TestDiff(t *testing.T) {
	for _, c := range []struct {
		before, after, added, removed []string
	}{
		{nil, nil, nil, nil},
		{nil, []string{"a"}, []string{"a"}, nil},
		{[]string{"a", "b", "d"}, []string{"b", "c", "d", "e"}, []string{"c", "e"}, []string{"a"}},
		{[]string{"x"}, nil, nil, []string{"x"}},
	} {
		assert.DeepEqual(t, Diff(c.before, c.after), Change{Added: c.added, Removed: c.removed})
	}
}
