package attach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/wire/wirev1"
)

// entriesIn returns n entries, assigned to the data centres in turn.
func entriesIn(n int, dataCentres ...string) []*wirev1.EntryInfo {
	all := make([]*wirev1.EntryInfo, n)
	for i := range all {
		all[i] = &wirev1.EntryInfo{Id: fmt.Sprintf("e%02d", i), Zone: dataCentres[i%len(dataCentres)]}
	}
	return all
}

func ids(entries []*wirev1.EntryInfo) []string {
	var all []string
	for _, e := range entries {
		all = append(all, e.GetId())
	}
	slices.Sort(all)
	return all
}

func TestChoose(t *testing.T) {
	policy := Policy{AttachAllLimit: 4, AttachCount: 3}
	cases := []struct {
		name       string
		entries    []*wirev1.EntryInfo
		dataCentre string
		want       int
		// minLocal is the minimum number of chosen entries in the guard's data centre.
		minLocal int
	}{
		{"none", nil, "zagreb", 0, 0},
		{"few: all", entriesIn(4, "karlovac"), "zagreb", 4, 0},
		{"many: some", entriesIn(5, "karlovac"), "zagreb", 3, 0},
		{"many: one in its zone", entriesIn(20, "karlovac", "karlovac", "karlovac", "karlovac", "zagreb"), "zagreb", 3, 1},
		{"draining ones don't count", []*wirev1.EntryInfo{{Id: "a"}, {Id: "b", Draining: true}}, "", 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for guard := range 50 {
				got := Choose(fmt.Sprint("g", guard), c.dataCentre, c.entries, policy)
				local := 0
				for _, e := range got {
					assert.Assert(t, !e.GetDraining())
					if e.GetZone() == c.dataCentre {
						local++
					}
				}
				assert.Equal(t, len(got), c.want)
				assert.Assert(t, local >= c.minLocal)
				assert.Equal(t, len(slices.Compact(ids(got))), c.want, "each once")
			}
		})
	}
}

// Every entry must return the same result, regardless of the order in which it knows
// the others.
func TestChooseIgnoresOrder(t *testing.T) {
	entries := entriesIn(20, "zagreb", "karlovac")
	reversed := slices.Clone(entries)
	slices.Reverse(reversed)
	for guard := range 50 {
		name := fmt.Sprint("g", guard)
		assert.DeepEqual(t,
			ids(Choose(name, "zagreb", entries, DefaultPolicy)),
			ids(Choose(name, "zagreb", reversed, DefaultPolicy)))
	}
}

// Removing one entry moves only the guards that were attached to it, each by one place,
// and the load stays balanced.
func TestChooseMovesFewGuards(t *testing.T) {
	const guards = 2000
	entries := entriesIn(20, "zagreb")
	load := map[string]int{}
	for guard := range guards {
		name := fmt.Sprint("g", guard)
		before := ids(Choose(name, "zagreb", entries, DefaultPolicy))
		after := ids(Choose(name, "zagreb", entries[1:], DefaultPolicy))
		kept := 0
		for _, id := range before {
			load[id]++
			if slices.Contains(after, id) {
				kept++
			}
		}
		want := DefaultPolicy.AttachCount
		if slices.Contains(before, entries[0].GetId()) {
			want--
		}
		assert.Equal(t, kept, want, name)
	}
	mean := guards * DefaultPolicy.AttachCount / len(entries)
	for id, n := range load {
		assert.Assert(t, n > mean*3/4 && n < mean*5/4, "%s has %d guards, mean %d", id, n, mean)
	}
}

func TestInterval(t *testing.T) {
	p := IntervalPolicy{Min: time.Second, Max: time.Minute, BytesPerSecond: 1000}
	for _, c := range []struct {
		endpoints, bytes int
		want             time.Duration
	}{
		{0, 300, time.Second},
		{11, 300, 3300 * time.Millisecond},
		{100, 300, 30 * time.Second},
		{3300, 300, time.Minute},
	} {
		assert.Equal(t, Interval(c.endpoints, c.bytes, p), c.want)
	}
	p.BytesPerSecond = 0
	assert.Equal(t, Interval(1, 1, p), time.Minute)
}
