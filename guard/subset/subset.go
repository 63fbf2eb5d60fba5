// Package subset selects the entries with which a guard keeps sessions. It is
// pure: it uses no clock and does no I/O.
//
// It addresses deployments of hundreds of guards and tens of entries. With a
// session between each pair, the number of messages that advertise capacity grows
// with the square of the deployment, each entry chooses among runners whose state
// every other entry knows equally well, and every process holds a connection to
// every other.
//
// Entries are ranked by rendezvous hashing (Thaler and Ravishankar, 1998). The
// rank depends only on the guard and the entry, so guards need no agreement, the
// subsets of different guards overlap, and an entry that joins or leaves moves no
// session but its own.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// DefaultSize is the default number of entries that a guard serves. It bounds how
	// many entries share a runner, and leaves each entry enough runners of every
	// data centre: 52 with 4.4 guards per entry.
	DefaultSize = 12
	// MinGuards is the minimum number of guards that an entry should see. With
	// fewer, the load of one entry reaches full runners while others are free.
	MinGuards = 24
	// shrinkFactor times MinGuards is the number of guards per entry above which
	// an enlarged subset shrinks again. The hysteresis prevents oscillation among
	// guards, which decide independently.
	shrinkFactor = 1.5
	// maxSizeFactor times the size is the maximum number of entries tried while
	// some are down. Those that are down are tried in addition, so that a session
	// is opened as soon as they are back.
	maxSizeFactor = 2
)

// Entry is a guard's view of one entry.
type Entry struct {
	Address string
	// Rank is the rank of this entry for the guard; see the function Rank.
	Rank uint64
	// Down is set if the entry has been unreachable for longer than a restart is
	// expected to take.
	Down bool
}

// Rank returns the rank of an entry for a guard; the highest ranks are chosen.
func Rank(guard, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(guard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return mix(h.Sum64())
}

// mix distributes the differences of similar inputs over all bits of the hash:
// FNV carries the last byte to the high bits by a single multiplication only, and
// addresses often differ only in that byte.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Choose returns the addresses to keep sessions with: the entries of the highest
// rank until size of them are reachable, but at most maxSizeFactor times size.
func Choose(entries []Entry, size int) []string {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Address, b.Address))
	})
	var chosen []string
	reachable := 0
	for _, e := range ranked {
		if reachable == size || len(chosen) == maxSizeFactor*size {
			break
		}
		chosen = append(chosen, e.Address)
		if !e.Down {
			reachable++
		}
	}
	return chosen
}

// NextSize returns the new subset size, given the current one, the number of known
// entries and the number of guards that each attached entry sees. With few guards
// per entry, a subset of DefaultSize would leave some entries with hardly any guard.
func NextSize(size, entries int, guards []int) int {
	if len(guards) == 0 || entries <= DefaultSize {
		return DefaultSize
	}
	sum := 0
	for _, n := range guards {
		sum += n
	}
	guardsSeen := max(float64(sum)/float64(len(guards)), 1)
	if size <= DefaultSize && guardsSeen >= MinGuards || size > DefaultSize && guardsSeen >= MinGuards && guardsSeen <= shrinkFactor*MinGuards {
		return size
	}
	next := int(math.Ceil(float64(size) * MinGuards / guardsSeen))
	return min(max(next, DefaultSize), entries)
}
