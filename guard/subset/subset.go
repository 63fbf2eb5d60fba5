// Package subset decides with which entries a guard keeps sessions. It has no
// clock, input or output.
//
// Load pattern it answers: hundreds of guards and tens of entries. With a session
// between each pair, the messages that advertise capacity grow with the square of the
// deployment, each start is one of an entry's choices among runners of which every
// other entry knows the same, and every process holds a connection to every other.
//
// Entries are ranked by rendezvous hashing (Thaler and Ravishankar, 1998): the rank
// depends on the guard and the entry alone, so that guards need not agree on anything,
// subsets of different guards overlap, and an entry that comes or goes moves no
// session but its own.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// Size is the number of entries that a guard serves. A runner is then shared by so
	// many, and an entry sees enough runners of every data centre: 52 where there are
	// 4.4 guards to an entry.
	Size = 12
	// MinGuards is the least number of guards that an entry should see: with fewer, the
	// load of one entry comes to runners that are full while others are free.
	MinGuards = 24
	// slackGuards times MinGuards at each entry lets a widened subset shrink again; the
	// gap keeps guards, which each decide for themselves, from going back and forth.
	slackGuards = 1.5
	// mostOf the size is tried while entries are down: those that are down are tried
	// besides, so that they are attached to as soon as they are back.
	mostOf = 2
)

// Entry is what a guard knows of one entry.
type Entry struct {
	Address string
	// Rank is that of the guard and this entry; see Rank.
	Rank uint64
	// Down is true when the entry has been out of reach for longer than a restart takes
	// to show.
	Down bool
}

// Rank of an entry for a guard; the highest are chosen.
func Rank(guard, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(guard))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return mix(h.Sum64())
}

// mix spreads the hash of two nearly equal names over all bits: the last byte of FNV
// reaches the high bits only by one multiplication, and addresses differ in it.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Choose returns the addresses to keep sessions with: the first by rank until size of
// them are within reach, mostOf times size at the most.
func Choose(entries []Entry, size int) []string {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Address, b.Address))
	})
	var chosen []string
	up := 0
	for _, e := range ranked {
		if up == size || len(chosen) == mostOf*size {
			break
		}
		chosen = append(chosen, e.Address)
		if !e.Down {
			up++
		}
	}
	return chosen
}

// Next returns the size to go on with, from what it is now, the number of entries known
// and the number of guards that each attached entry sees. Where there are few guards to
// an entry, a subset of Size leaves entries with hardly any.
func Next(size, entries int, guards []int) int {
	if len(guards) == 0 || entries <= Size {
		return Size
	}
	sum := 0
	for _, n := range guards {
		sum += n
	}
	seen := max(float64(sum)/float64(len(guards)), 1)
	if size <= Size && seen >= MinGuards || size > Size && seen >= MinGuards && seen <= slackGuards*MinGuards {
		return size
	}
	next := int(math.Ceil(float64(size) * MinGuards / seen))
	return min(max(next, Size), entries)
}
