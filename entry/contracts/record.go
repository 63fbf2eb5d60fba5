package contracts

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"almondstand.dev/contract"
	"almondstand.dev/platform"
)

// Prefix is the key prefix of the contracts in the store.
const Prefix = "contracts/"

// Key returns the store key of a client's contract.
func Key(client string) string { return Prefix + client }

// format is the version of the record encoding.
const format = 1

// MaxHistory is the number of older versions kept beside a contract. They are sent
// with every change, so the number is small.
const MaxHistory = 4

// maxRevision bounds the revisions that are accepted, so that a manually written one
// leaves enough numbers for all later changes.
const maxRevision = 1 << 53

// Version is one version of a contract.
type Version struct {
	// Revision orders the versions of all contracts.
	Revision int64 `json:"revision"`
	// Previous is the revision of the version that this one replaced; zero for the first.
	Previous int64 `json:"previous"`
	// WrittenAt is the wall clock time of the entry that wrote it.
	WrittenAt time.Time         `json:"written_at"`
	Contract  contract.Contract `json:"contract"`
}

// record is the value of one key: the version in force and those before it.
//
// The revision is part of the value rather than the store's own revision of the key,
// because the store's goes back when it is restored from a backup, and every entry would
// then reject a change made afterwards. The writer takes a number above the store's
// revision and above all revisions that the entry holds. On one key the compare-and-swap
// ensures that the numbers increase.
type record struct {
	Version
	History []Version
}

// stored is the JSON encoding of a record.
type stored struct {
	Format    int             `json:"format"`
	Revision  int64           `json:"revision"`
	Previous  int64           `json:"previous"`
	WrittenAt time.Time       `json:"written_at"`
	Contract  json.RawMessage `json:"contract"`
	History   []Version       `json:"history,omitempty"`
}

func (r *record) encode() ([]byte, error) {
	text, err := r.Contract.Encode()
	if err != nil {
		return nil, eris.Wrap(err, "encode contract")
	}
	return json.Marshal(stored{
		Format:    format,
		Revision:  r.Revision,
		Previous:  r.Previous,
		WrittenAt: r.WrittenAt,
		Contract:  text,
		History:   r.History,
	})
}

var (
	errFormat   = fmt.Errorf("record format is not %d", format)
	errRevision = fmt.Errorf("record revision is not between 1 and %d", int64(maxRevision))
	errTrailing = errors.New("trailing data after the record")
	errKey      = errors.New("record's client does not match its key")
)

// decodeRecord decodes the value of a key strictly.
func decodeRecord(key string, value []byte) (*record, error) {
	if len(value) > platform.MaxValueSize {
		return nil, platform.ErrTooLarge
	}
	var s stored
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, eris.Wrap(err, "decode record")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errTrailing
	}
	if s.Format != format {
		return nil, errFormat
	}
	if s.Revision < 1 || s.Revision > maxRevision {
		return nil, errRevision
	}
	c, err := contract.Decode(s.Contract)
	if err != nil {
		return nil, err
	}
	if strings.TrimPrefix(key, Prefix) != c.Client {
		return nil, errKey
	}
	version := Version{Revision: s.Revision, Previous: s.Previous, WrittenAt: s.WrittenAt, Contract: c}
	return &record{Version: version, History: s.History}, nil
}

// peekRevision returns the revision that an unreadable value claims to have, or zero. A
// newer release may have written an encoding that this one doesn't know; its revision
// still counts.
func peekRevision(value []byte) int64 {
	var s struct {
		Revision int64 `json:"revision"`
	}
	if json.Unmarshal(value, &s) != nil || s.Revision < 0 || s.Revision > maxRevision {
		return 0
	}
	return s.Revision
}

// successor returns the version that replaced the one of the given revision, or nil when
// the record's history no longer contains it.
func (r *record) successor(of int64) *Version {
	if r.Previous == of {
		return &r.Version
	}
	for i := range r.History {
		if r.History[i].Previous == of {
			return &r.History[i]
		}
	}
	return nil
}

// byChange returns the version that the change made, or nil.
func (r *record) byChange(change string) *Version {
	if r.Contract.ChangeID == change {
		return &r.Version
	}
	for i := range r.History {
		if r.History[i].Contract.ChangeID == change {
			return &r.History[i]
		}
	}
	return nil
}

// versions returns all kept versions, the newest first.
func (r *record) versions() []Version {
	return append([]Version{r.Version}, r.History...)
}

// next returns the record that replaces r, which may be nil.
func (r *record) next(c contract.Contract, revision int64, now time.Time) *record {
	version := Version{Revision: revision, WrittenAt: now.UTC(), Contract: c}
	if r == nil {
		return &record{Version: version}
	}
	version.Previous = r.Revision
	history := r.versions()
	if len(history) > MaxHistory {
		history = history[:MaxHistory]
	}
	return &record{Version: version, History: history}
}
