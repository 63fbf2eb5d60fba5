package contracts

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/platform"
)

// Errors of a write.
var (
	// ErrConflict means that the store holds another version than the expected one; the
	// error is a *ConflictError.
	ErrConflict = errors.New("contract was changed meanwhile")
	// ErrUnknownOutcome means that the change may or may not have been made, or may still be
	// made.
	ErrUnknownOutcome = errors.New("outcome of the change is unknown")
	// ErrStoreUnavailable means that the store was not reached; nothing was changed.
	ErrStoreUnavailable = errors.New("store does not answer; nothing was changed")
	// ErrNotFound means that the client has no contract.
	ErrNotFound = errors.New("customer has no contract")
)

// ConflictError contains the version that conflicts with the change.
type ConflictError struct {
	// Expected is the revision that the change was made for; zero for none.
	Expected int64
	// InForce is the version in the store. Its Revision is zero when there is none; its
	// Contract is empty when this entry can't decode it.
	InForce Version
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: expected revision %d, found %d", ErrConflict, e.Expected, e.InForce.Revision)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Precondition is the precondition of a change: the version that it replaces.
type Precondition struct {
	// AnyRevision accepts whatever is in the store when the change starts.
	AnyRevision bool
	// Revision is the version to be replaced; zero: there is none yet.
	Revision int64
}

// WriteResult is the result of an accepted change.
type WriteResult struct {
	// Revision of the version that the change made.
	Revision int64
	// Unchanged is true when the store already held the same content.
	Unchanged bool
	// Superseded is true when another change has already replaced it.
	Superseded bool
}

// WriterOptions are the settings of a Writer.
type WriterOptions struct {
	Store platform.Store
	// Registry receives each change at once; its options also provide the clock, the logger
	// and the pauses.
	Registry *Registry
	// Timeout bounds one change.
	Timeout time.Duration
	// NewChangeID returns a unique change id.
	NewChangeID func() string
}

// DefaultTimeout bounds one change when WriterOptions doesn't.
const DefaultTimeout = 10 * time.Second

// Writer changes contracts in the store.
type Writer struct {
	opts WriterOptions
}

// NewWriter returns a writer.
func NewWriter(opts WriterOptions) *Writer {
	setDefault(&opts.Timeout, DefaultTimeout)
	if opts.NewChangeID == nil {
		opts.NewChangeID = newChangeID
	}
	return &Writer{opts: opts}
}

func newChangeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Apply writes a contract if the store holds the expected version. It returns a
// *contract.InvalidError, a *ConflictError, ErrStoreUnavailable (nothing was changed) or
// ErrUnknownOutcome. Repeating a change that was made succeeds with the revision of the
// first time.
func (w *Writer) Apply(ctx context.Context, c contract.Contract, precondition Precondition) (WriteResult, error) {
	if err := c.Check(); err != nil {
		return WriteResult{}, err
	}
	if err := w.checkTokens(c); err != nil {
		return WriteResult{}, err
	}
	edit := func(*record) (contract.Contract, error) { return c, nil }
	return w.write(ctx, c.Client, precondition, edit)
}

// Retire ends a client's contract.
func (w *Writer) Retire(ctx context.Context, client string, precondition Precondition) (WriteResult, error) {
	return w.write(ctx, client, precondition, func(base *record) (contract.Contract, error) {
		if base == nil {
			return contract.Contract{}, ErrNotFound
		}
		c := base.Contract
		c.State = contract.Retired
		return c, nil
	})
}

// History returns the versions of a client's contract that the store keeps, the newest
// first.
func (w *Writer) History(ctx context.Context, client string) ([]Version, error) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	b, err := w.read(ctx, client)
	if err != nil {
		return nil, err
	}
	if b.record == nil {
		return nil, ErrNotFound
	}
	return b.record.versions(), nil
}

// checkTokens rejects a token that belongs to another client. Two concurrent changes can
// both pass it; the registry then resolves the conflict.
func (w *Writer) checkTokens(c contract.Contract) error {
	var invalid contract.InvalidError
	for i, text := range c.TokenDigests {
		digest, _ := parseDigest(text)
		other, found := w.opts.Registry.ByToken(digest)
		if found && other.Client != c.Client {
			invalid.Problems = append(invalid.Problems, contract.Problem{
				Path:    fmt.Sprintf("token_digests[%d]", i),
				Found:   "a digest of customer " + other.Client,
				Allowed: "a token of this customer alone",
			})
		}
	}
	if len(invalid.Problems) > 0 {
		return &invalid
	}
	return nil
}

// base is the state that a change starts from.
type base struct {
	// modRevision is the store's modification revision of the key, zero when absent.
	modRevision int64
	// storeRevision is the store's revision at the read.
	storeRevision int64
	// record is the newest version known; nil when there is none.
	record *record
	// stored is true when the store holds that version.
	stored bool
	// unreadableRevision is the revision of the store's value if it is newer than record and
	// can't be decoded here, or zero.
	unreadableRevision int64
}

func (b *base) revision() int64 {
	if b.record == nil {
		return 0
	}
	return b.record.Revision
}

// read reads the store's version. The one in force at this entry is used instead if the
// store's is older, missing or unreadable.
func (w *Writer) read(ctx context.Context, client string) (*base, error) {
	kv, revision, err := w.opts.Store.Get(ctx, Key(client))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	b := w.newBase(client, kv)
	b.storeRevision = revision
	return b, nil
}

func (w *Writer) newBase(client string, kv *platform.KeyValue) *base {
	b := &base{}
	if h, found := w.opts.Registry.current.Load().byClient[client]; found {
		b.record = h.record
	}
	if kv == nil {
		return b
	}
	b.modRevision = kv.ModRevision
	rec, err := decodeRecord(kv.Key, kv.Value)
	if err != nil {
		if revision := peekRevision(kv.Value); revision > b.revision() {
			b.unreadableRevision = revision
		}
		return b
	}
	if rec.Revision >= b.revision() {
		b.record = rec
		b.stored = true
	}
	return b
}

// maxTries bounds how often a change is retried because the store's key was rewritten
// without a new version (by a repair).
const maxTries = 4

func (w *Writer) write(ctx context.Context, client string, precondition Precondition, edit func(*record) (contract.Contract, error)) (WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	change := w.opts.NewChangeID()
	b, err := w.read(ctx, client)
	if err != nil {
		return WriteResult{}, err
	}
	for range maxTries {
		c, err := edit(b.record)
		if err != nil {
			return WriteResult{}, err
		}
		if written, done, err := b.precheck(c, precondition); done {
			return written, err
		}
		c.ChangeID = change
		p, err := w.propose(client, b, c)
		if err != nil {
			return WriteResult{}, err
		}
		written, current, err := w.swap(ctx, p)
		if err != nil || current == nil {
			return written, err
		}
		if current.isRepeat(c, b.revision()) {
			return WriteResult{Revision: current.revision(), Unchanged: true}, nil
		}
		if current.revision() != b.revision() {
			return WriteResult{}, conflictError(b.revision(), current.record)
		}
		b = current
	}
	return WriteResult{}, conflictError(b.revision(), b.record)
}

// precheck reports whether a change is decided before anything is written: the store
// already holds the content, or doesn't hold the expected version.
func (b *base) precheck(c contract.Contract, precondition Precondition) (written WriteResult, done bool, err error) {
	// The newer value may be an accepted change made at an entry of a newer release: the
	// operator has to agree explicitly to replace it.
	if b.unreadableRevision > 0 && !precondition.AnyRevision {
		return WriteResult{}, true, &ConflictError{Expected: precondition.Revision, InForce: Version{Revision: b.unreadableRevision}}
	}
	expected := precondition.AnyRevision || precondition.Revision == b.revision()
	same := b.stored && b.record.Contract.SameTerms(c)
	switch {
	case (same && expected) || b.isRepeat(c, precondition.Revision):
		return WriteResult{Revision: b.revision(), Unchanged: true}, true, nil
	case !expected:
		return WriteResult{}, true, conflictError(precondition.Revision, b.record)
	}
	return WriteResult{}, false, nil
}

// isRepeat reports whether the store's version is this same change, made against the
// same previous version: the operator repeats a change whose response was lost. The
// first attempt may have taken effect only now, and reporting it as a conflict would
// make the operator search for another person's change.
func (b *base) isRepeat(c contract.Contract, previous int64) bool {
	return b.stored && b.record.Contract.SameTerms(c) && b.record.Previous == previous
}

func conflictError(expected int64, current *record) error {
	e := &ConflictError{Expected: expected}
	if current != nil {
		e.InForce = current.Version
	}
	return e
}

// proposal is one change, ready to be written.
type proposal struct {
	client string
	base   *base
	record *record
	value  []byte
}

func (w *Writer) propose(client string, b *base, c contract.Contract) (*proposal, error) {
	revision := max(b.storeRevision, b.revision(), b.unreadableRevision, w.opts.Registry.Revision()) + 1
	rec := b.record.next(c, revision, w.opts.Registry.opts.Now())
	value, err := rec.encode()
	if err != nil {
		return nil, err
	}
	return &proposal{client: client, base: b, record: rec, value: value}, nil
}

// swap writes a proposal. If the store holds another value, it returns that.
func (w *Writer) swap(ctx context.Context, p *proposal) (WriteResult, *base, error) {
	key := Key(p.client)
	result, err := w.opts.Store.CompareAndSwap(ctx, key, p.base.modRevision, p.value, 0)
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		written, err := w.resolveUnknown(ctx, p)
		return written, nil, err
	case errors.Is(err, platform.ErrUnavailable):
		return WriteResult{}, nil, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	case err != nil:
		return WriteResult{}, nil, err
	case result.Swapped:
		return w.accepted(ctx, p), nil, nil
	}
	current := w.newBase(p.client, result.Current)
	current.storeRevision = result.Revision
	return WriteResult{}, current, nil
}

func (w *Writer) accepted(ctx context.Context, p *proposal) WriteResult {
	w.opts.Registry.applyCandidates(ctx, []candidate{{key: Key(p.client), value: p.value, from: "writer"}})
	return WriteResult{Revision: p.record.Revision}
}

// resolveUnknown determines the outcome of a write whose response was lost. It reads the
// key back; while the key is unchanged, it sends the same write again: the comparison
// lets only one of the two copies take effect, whichever arrives first. At the timeout
// the outcome stays unknown, since a copy may still be in flight.
func (w *Writer) resolveUnknown(ctx context.Context, p *proposal) (WriteResult, error) {
	registry := w.opts.Registry
	key := Key(p.client)
	for ctx.Err() == nil {
		kv, _, err := w.opts.Store.Get(ctx, key)
		if err != nil {
			registry.sleep(ctx, registry.opts.MinPause)
			continue
		}
		if kv == nil && p.base.modRevision == 0 || kv != nil && kv.ModRevision == p.base.modRevision {
			result, err := w.opts.Store.CompareAndSwap(ctx, key, p.base.modRevision, p.value, 0)
			if err == nil && result.Swapped {
				return w.accepted(ctx, p), nil
			}
			if err != nil {
				registry.sleep(ctx, registry.opts.MinPause)
			}
			continue
		}
		return w.outcomeOf(ctx, p, kv)
	}
	return WriteResult{}, w.logUnknownOutcome(ctx, p)
}

// outcomeOf determines the outcome of the proposal from the version now in the store.
func (w *Writer) outcomeOf(ctx context.Context, p *proposal, kv *platform.KeyValue) (WriteResult, error) {
	if kv == nil {
		return WriteResult{}, w.logUnknownOutcome(ctx, p)
	}
	rec, err := decodeRecord(kv.Key, kv.Value)
	if err != nil {
		return WriteResult{}, w.logUnknownOutcome(ctx, p)
	}
	w.opts.Registry.applyCandidates(ctx, []candidate{{key: kv.Key, value: kv.Value, from: "store"}})
	if own := rec.byChange(p.record.Contract.ChangeID); own != nil {
		return WriteResult{Revision: own.Revision, Superseded: own.Revision != rec.Revision}, nil
	}
	// The key has changed, so a copy of the write that is still in flight fails its
	// comparison. Another change took its place if the version history shows which one.
	if rec.successor(p.base.revision()) != nil {
		return WriteResult{}, conflictError(p.base.revision(), rec)
	}
	return WriteResult{}, w.logUnknownOutcome(ctx, p)
}

func (w *Writer) logUnknownOutcome(ctx context.Context, p *proposal) error {
	eventUnknownOutcome.Log(ctx, w.opts.Registry.opts.Logger,
		slog.String("customer", p.client), slog.String("change", p.record.Contract.ChangeID))
	return ErrUnknownOutcome
}
