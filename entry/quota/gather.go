package quota

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// collectorTerm is how long the same entries collect shares for jobs that no single share can
// hold. Leases take a few seconds to be returned, so shorter terms would waste most of the limit;
// rejected callers reach a collecting entry when they retry through the load balancer.
const collectorTerm = 10 * time.Second

// collectors determines which entries collect shares at present. If every entry received jobs
// larger than its share and kept its own part, none could ever admit one. The entries agree on the
// collectors without a message, by rendezvous hashing of their names in each term. Clock
// differences only cause one more entry to collect for a moment, during which possibly none has
// enough.
type collectors struct {
	// ranks are the hash values of the entries that receive such jobs, highest first; the first
	// slots of them collect.
	ranks []uint64
	slots int
	// own is this entry's rank, 0 if it receives no such job.
	own uint64
}

// collectors ranks this entry and the peers that requested lately. The number of slots is how
// often the contract can hold two of the largest of the jobs: a token bucket that holds just one
// loses the tokens that arrive while it is full.
func (a *account) collectors() collectors {
	var c collectors
	jobSize := a.estimate.oversized
	if jobSize > 0 {
		c.own = a.rank(a.opts.Self)
		c.ranks = append(c.ranks, c.own)
	}
	for peer, w := range a.peerDemands {
		if w.oversized > 0 && a.last.Sub(w.at) <= 2*ExchangePause {
			c.ranks = append(c.ranks, a.rank(peer))
			jobSize = max(jobSize, w.oversized)
		}
	}
	slices.SortFunc(c.ranks, func(x, y uint64) int { return cmp.Compare(y, x) })
	if jobSize > 0 {
		c.slots = int(min(a.limit.burst, a.limit.inFlight) / (2 * jobSize))
	}
	c.slots = min(max(c.slots, 1), len(c.ranks))
	return c
}

// includes reports whether the entry with the given rank collects.
func (c collectors) includes(rank uint64) bool { return slices.Contains(c.ranks[:c.slots], rank) }

// collects reports whether a peer collects and this entry does not.
func (a *account) collects(peer string) bool {
	c := a.collectors()
	return c.includes(a.rank(peer)) && !c.includes(c.own)
}

func (a *account) rank(entry string) uint64 {
	term := binary.LittleEndian.AppendUint64(nil, uint64(a.last.UnixNano()/int64(collectorTerm)))
	h := xxhash.New()
	_, _ = h.Write(term)
	_, _ = h.WriteString(a.name)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(entry)
	return h.Sum64()
}
