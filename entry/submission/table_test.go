package submission

import (
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/entry/task"
)

func newTable(incarnation uint64) *Table {
	return New(Options{Entry: "zagreb-1.a_b", Incarnation: incarnation, Key: NewKey(), ValidIDs: 1, CacheBytes: 4 * recordBytes, CacheTTL: time.Minute})
}

// mintUnused mints n ids that nobody uses, as many callers would.
func (t *Table) mintUnused(id ID, n int) {
	for client, w := range t.windows {
		if t.Verify(id, client) {
			for range n {
				w.mint()
			}
		}
	}
}

// FuzzParse checks that Parse rejects a text or that the text is the only text form of
// the id.
func FuzzParse(f *testing.F) {
	f.Add(newTable(1).Mint("shop", 1)[0].String())
	for _, text := range []string{"", "...", "a.1.1.", "a.01.1.AAAAAAAAAAAAAAAAAAAAAA", "a.A.1.AAAAAAAAAAAAAAAAAAAAAA",
		"a.1.1.AAAAAAAAAAAAAAAAAAAAAB", "a/b.1.1.AAAAAAAAAAAAAAAAAAAAAA", "a.+1.1.AAAAAAAAAAAAAAAAAAAAAA"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err != nil {
			return
		}
		assert.Equal(t, id.String(), text)
		assert.Assert(t, len(text) <= MaxText)
		assert.Equal(t, strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"), "")
	})
}

func TestIDContainsItsOwnerAndIsBoundToItsClient(t *testing.T) {
	table := newTable(77)
	ids := table.Mint("shop", 2)
	assert.Assert(t, ids[0] != ids[1])
	parsed, err := Parse(ids[0].String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, ids[0])
	assert.Equal(t, parsed.Entry, "zagreb-1.a_b")
	assert.Equal(t, parsed.Incarnation, uint64(77))
	assert.Assert(t, table.Verify(parsed, "shop"))
	assert.Assert(t, !table.Verify(parsed, "other"))
	swapped := parsed
	swapped.Sequence = ids[1].Sequence
	assert.Assert(t, !table.Verify(swapped, "shop"))
	assert.Assert(t, !newTable(77).Verify(parsed, "shop"), "another key")
	assert.Assert(t, !newTable(78).Owns(parsed), "another incarnation")
}

// oracle is the expected state of one id.
type oracle struct {
	client string
	flight *Flight
	body   byte
	used   bool
	// answers counts final responses: jobs that ran under the id.
	answers int
	last    Response
}

// TestTableAgainstOracle drives the table with repeats, concurrent requests, rejections,
// cancels, evictions, expiry and ids of other incarnations, and compares it with an
// oracle that only records for each id whether it was used and what the response was. A
// used id must never run again, whatever the table has evicted.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(1)
		foreign := newTable(2).Mint("shop", 1)[0]
		now := time.Unix(1000, 0)
		ids := []ID{}
		known := map[ID]*oracle{}
		pick := func(t *rapid.T) (ID, *oracle) {
			if len(ids) == 0 {
				t.Skip("no id yet")
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, known[id]
		}
		// check compares a result for a used or unused id with what happened to that id.
		check := func(t *rapid.T, o *oracle, id ID, got Lookup) {
			expired := table.windows[o.client].expired(id.Sequence)
			switch got.State {
			case Unused:
				assert.Assert(t, !o.used && !expired)
			case Running:
				assert.Assert(t, o.flight != nil && got.Flight == o.flight)
			case Cached:
				assert.Assert(t, o.used && o.flight == nil)
				assert.DeepEqual(t, got.Response, o.last)
			case Evicted:
				assert.Assert(t, o.used && o.flight == nil && !expired)
			case Expired:
				assert.Assert(t, o.flight == nil && expired)
			default:
				t.Fatalf("state %v", got.State)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				client := rapid.SampledFrom([]string{"shop", "other"}).Draw(t, "customer")
				for _, id := range table.Mint(client, rapid.IntRange(1, 2).Draw(t, "n")) {
					assert.Assert(t, known[id] == nil, "minted twice")
					known[id] = &oracle{client: client}
					ids = append(ids, id)
				}
			},
			"mint many": func(t *rapid.T) {
				if len(ids) > 0 {
					table.mintUnused(ids[0], rapid.SampledFrom([]int{chunkBits / 2, chunkBits}).Draw(t, "n"))
				}
			},
			"begin": func(t *rapid.T) {
				id, o := pick(t)
				body := rapid.SampledFrom([]byte{1, 2}).Draw(t, "body")
				got := table.Begin(now, id, o.client, sha256.Sum256([]byte{body}), func() {})
				switch got.State {
				case Started:
					assert.Assert(t, !o.used, "an id ran twice")
					o.used, o.flight, o.body = true, got.Flight, body
				case Conflict:
					assert.Assert(t, o.used && o.body != 0 && o.body != body)
				default:
					assert.Assert(t, got.State != Unused)
					if got.State == Running || got.State == Cached {
						assert.Assert(t, o.body == 0 || o.body == body)
					}
					check(t, o, id, got)
				}
			},
			"finish": func(t *rapid.T) {
				_, o := pick(t)
				if o.flight == nil {
					t.Skip("does not run")
				}
				o.answers++
				size := rapid.SampledFrom([]int{0, recordBytes, 4 * recordBytes}).Draw(t, "size")
				o.last = Response{Status: 200 + o.answers, Body: make([]byte, size)}
				table.Finish(now, o.flight, o.last, rapid.Bool().Draw(t, "keep"))
				assert.DeepEqual(t, o.flight.Response(), o.last)
				assert.Equal(t, o.answers, 1)
				o.flight = nil
			},
			"abort": func(t *rapid.T) {
				_, o := pick(t)
				if o.flight == nil {
					t.Skip("does not run")
				}
				cancelled := o.flight.cancelled
				assert.Equal(t, table.Abort(o.flight, Response{Ran: task.RanNo}), !cancelled)
				if !cancelled {
					o.flight, o.used, o.body = nil, false, 0
				}
			},
			"cancel": func(t *rapid.T) {
				id, o := pick(t)
				unused := Response{Status: 409}
				got := table.Cancel(now, id, o.client, unused)
				if !o.used && got.State == Cached {
					o.used, o.last = true, unused
				}
				check(t, o, id, got)
			},
			"find": func(t *rapid.T) {
				id, o := pick(t)
				check(t, o, id, table.Find(now, id, o.client))
			},
			"other customer": func(t *rapid.T) {
				id, o := pick(t)
				other := map[string]string{"shop": "other", "other": "shop"}[o.client]
				for _, id := range []ID{id, foreign} {
					assert.Equal(t, table.Find(now, id, other).State, Unknown)
					assert.Equal(t, table.Cancel(now, id, other, Response{}).State, Unknown)
					assert.Equal(t, table.Begin(now, id, other, [32]byte{}, nil).State, Unknown)
				}
			},
			"time": func(*rapid.T) { now = now.Add(20 * time.Second) },
			"": func(t *rapid.T) {
				held, kept := int64(0), 0
				for _, r := range table.records {
					if r.flight == nil {
						held += r.size()
						kept++
					}
				}
				assert.Equal(t, table.CachedBytes(), held)
				assert.Assert(t, held <= table.opts.CacheBytes)
				assert.Equal(t, table.cache.lru.Len(), kept)
			},
		})
	})
}

// TestCachedAnswersExpire checks that a response is evicted when it was not requested in
// time, and when newer ones need the memory; its id must stay used.
func TestCachedAnswersExpire(t *testing.T) {
	table := newTable(1)
	now := time.Unix(1000, 0)
	ids := table.Mint("shop", 6)
	for _, id := range ids {
		f := table.Begin(now, id, "shop", [32]byte{1}, nil).Flight
		table.Finish(now, f, Response{Status: 200}, true)
	}
	assert.Equal(t, table.Find(now, ids[0], "shop").State, Evicted)
	assert.Equal(t, table.Find(now, ids[2], "shop").State, Cached)
	now = now.Add(40 * time.Second)
	assert.Equal(t, table.Find(now, ids[2], "shop").State, Cached)
	now = now.Add(40 * time.Second)
	assert.Equal(t, table.Find(now, ids[2], "shop").State, Cached)
	assert.Equal(t, table.Find(now, ids[3], "shop").State, Evicted)
	assert.Equal(t, table.Begin(now, ids[3], "shop", [32]byte{1}, nil).State, Evicted)
}

// TestLargeAnswersEvictTheirOwn: one client fills the cache many times over. Another
// client, whose connection broke, retries and must still get its response.
func TestLargeAnswersEvictTheirOwn(t *testing.T) {
	table := newTable(1)
	now := time.Unix(1000, 0)
	finish := func(client string, size int) ID {
		id := table.Mint(client, 1)[0]
		f := table.Begin(now, id, client, [32]byte{1}, nil).Flight
		table.Finish(now, f, Response{Body: make([]byte, size)}, true)
		return id
	}
	small := finish("shop", 0)
	var last ID
	for range 20 {
		last = finish("other", recordBytes)
	}
	assert.Equal(t, table.Find(now, small, "shop").State, Cached)
	assert.Equal(t, table.Find(now, last, "other").State, Cached)
}

// TestAbortAfterExpiry: a job is rejected so late that its id has left the window, and a
// newer id uses the same bit. Clearing the bit for the old id would let the newer one
// run a second time.
func TestAbortAfterExpiry(t *testing.T) {
	table := newTable(1)
	now := time.Unix(1000, 0)
	old := table.Mint("shop", 1)[0]
	rejected := table.Begin(now, old, "shop", [32]byte{1}, nil).Flight
	table.mintUnused(old, table.chunks*chunkBits-1)
	newer := table.Mint("shop", 1)[0]
	assert.Equal(t, newer.Sequence-old.Sequence, uint64(table.chunks*chunkBits))
	table.Finish(now, table.Begin(now, newer, "shop", [32]byte{1}, nil).Flight, Response{}, false)
	assert.Assert(t, table.Abort(rejected, Response{}))
	assert.Equal(t, table.Find(now, newer, "shop").State, Evicted)
	assert.Equal(t, table.Find(now, old, "shop").State, Expired)
}
