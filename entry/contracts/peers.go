package contracts

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"log/slog"

	"almondstand.dev/wire/wirev1"
)

// ErrIncomplete means that a peer's response was corrupted or lacks records, and that
// nothing of it was used.
var ErrIncomplete = errors.New("peer's response with contracts is incomplete or corrupted")

// Merge applies the records that are newer than those in force and returns how many it
// applied.
func (r *Registry) Merge(records []*wirev1.ContractRecord) int {
	candidates := make([]candidate, 0, len(records))
	for _, rec := range records {
		candidates = append(candidates, candidate{key: rec.GetKey(), value: rec.GetValue(), from: "peer"})
	}
	applied := 0
	for _, v := range r.applyCandidates(context.Background(), candidates) {
		if v == resultApplied {
			applied++
		}
	}
	return applied
}

// BuildResponse returns the records that are newer than the revisions a peer holds.
func (r *Registry) BuildResponse(request *wirev1.FetchContractsRequest) *wirev1.FetchContractsResponse {
	all := r.Snapshot()
	response := &wirev1.FetchContractsResponse{Total: uint32(len(all))}
	for _, rec := range all {
		response.ConfigRevision = max(response.ConfigRevision, rec.Revision)
		if rec.Revision > request.GetHeld()[rec.Key] {
			response.Records = append(response.Records, rec)
		}
	}
	response.Digest = recordsDigest(response.Records)
	return response
}

// MergeResponse merges a peer's response after verifying its record count and digest, and
// returns how many records it applied. With a part of a response this entry would have
// some contracts in force and lack others, and would reject the callers of the missing
// ones as unknown.
func (r *Registry) MergeResponse(response *wirev1.FetchContractsResponse) (int, error) {
	if !r.isComplete(response) {
		eventPeerRefused.Log(context.Background(), r.opts.Logger,
			slog.Int("records", len(response.GetRecords())), slog.Int("total", int(response.GetTotal())))
		return 0, ErrIncomplete
	}
	return r.Merge(response.GetRecords()), nil
}

func (r *Registry) isComplete(response *wirev1.FetchContractsResponse) bool {
	if !bytes.Equal(response.GetDigest(), recordsDigest(response.GetRecords())) {
		return false
	}
	known := r.HeldRevisions()
	for _, rec := range response.GetRecords() {
		known[rec.GetKey()] = rec.GetRevision()
	}
	return len(known) >= int(response.GetTotal())
}

// recordsDigest is the SHA-256 over the records in the given order, each part preceded
// by its length.
func recordsDigest(records []*wirev1.ContractRecord) []byte {
	h := sha256.New()
	number := func(n uint64) {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	number(uint64(len(records)))
	for _, rec := range records {
		number(uint64(len(rec.GetKey())))
		_, _ = h.Write([]byte(rec.GetKey()))
		number(uint64(rec.GetRevision()))
		number(uint64(len(rec.GetValue())))
		_, _ = h.Write(rec.GetValue())
	}
	return h.Sum(nil)
}
