package contracts

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"almondstand.dev/contract"
)

// heldContract is one contract as this entry holds it. It is immutable.
type heldContract struct {
	key    string
	value  []byte
	record *record
	// checksum depends on the key, the revision and the value.
	checksum uint64
}

func newHeldContract(key string, value []byte, r *record) *heldContract {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], uint64(r.Revision))
	_, _ = digest.Write(revision[:])
	_, _ = digest.Write(value)
	return &heldContract{key: key, value: slices.Clone(value), record: r, checksum: digest.Sum64()}
}

type tokenDigest = [sha256.Size]byte

// owner is the contract to which a token belongs.
type owner struct {
	digest tokenDigest
	held   *heldContract
}

// snapshot is all the data that requests read. It is immutable.
type snapshot struct {
	byClient map[string]*heldContract
	byToken  map[tokenDigest]owner
	revision int64
	digest   uint64
}

// tokenConflict is a token digest that two clients' contracts list.
type tokenConflict struct{ used, ignored string }

// newSnapshot builds the indexes over the contracts.
func newSnapshot(byClient map[string]*heldContract) (*snapshot, []tokenConflict) {
	s := &snapshot{byClient: byClient, byToken: map[tokenDigest]owner{}}
	var conflicts []tokenConflict
	// Conflicts are resolved in the order of the client names, so that every entry gets the
	// same result regardless of the order in which contracts arrived.
	for _, client := range slices.Sorted(maps.Keys(byClient)) {
		h := byClient[client]
		s.revision = max(s.revision, h.record.Revision)
		s.digest ^= h.checksum
		conflicts = append(conflicts, s.indexTokens(client, h)...)
	}
	return s, conflicts
}

func (s *snapshot) indexTokens(client string, h *heldContract) []tokenConflict {
	var conflicts []tokenConflict
	for _, text := range h.record.Contract.TokenDigests {
		digest, ok := parseDigest(text)
		if !ok {
			continue
		}
		if first, found := s.byToken[digest]; found {
			conflicts = append(conflicts, tokenConflict{used: first.held.record.Contract.Client, ignored: client})
			continue
		}
		s.byToken[digest] = owner{digest: digest, held: h}
	}
	return conflicts
}

// withChanges returns a copy in which the changed contracts replace their clients'
// previous ones.
func (s *snapshot) withChanges(changed map[string]*heldContract) (*snapshot, []tokenConflict) {
	byClient := maps.Clone(s.byClient)
	maps.Copy(byClient, changed)
	return newSnapshot(byClient)
}

// lookup finds a contract by a token's digest. The map lookup depends on bits of a
// SHA-256, which nobody can choose; the comparison that decides takes constant time.
func (s *snapshot) lookup(digest tokenDigest) (contract.Contract, bool) {
	o, found := s.byToken[digest]
	if !found || subtle.ConstantTimeCompare(o.digest[:], digest[:]) != 1 {
		return contract.Contract{}, false
	}
	return o.held.record.Contract, true
}

func parseDigest(text string) (tokenDigest, bool) {
	var digest tokenDigest
	n, err := hex.Decode(digest[:], []byte(text))
	return digest, err == nil && n == len(digest)
}
