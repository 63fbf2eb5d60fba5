package contracts_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"almondstand.dev/entry/contracts"
	"almondstand.dev/wire/wirev1"
)

// FuzzRecord checks that no value in the store, whoever wrote it, makes an entry panic,
// and that every accepted value passes the contract's own checks.
func FuzzRecord(f *testing.F) {
	const text = `{"format":1,"revision":7,"previous":3,"written_at":"2026-01-01T00:00:00Z","contract":` +
		`{"customer":"a","rate":1,"burst":1,"in_flight":1,"answer_time":"2s","services":["s"]},` +
		`"history":[{"revision":3,"previous":0,"written_at":"2026-01-01T00:00:00Z","contract":{}}]}`
	for _, seed := range []string{text, text + "}", text + text, "", "null", "{}", `{"format":1}`, `{"format":1,"revision":9e99}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		registry := contracts.New(contracts.Options{})
		applied := registry.Merge([]*wirev1.ContractRecord{{Key: contracts.Key("a"), Value: value}})
		assert.Equal(t, applied, len(registry.All()))
		for _, c := range registry.All() {
			assert.NilError(t, c.Check())
			assert.Equal(t, c.Client, "a")
			assert.Assert(t, registry.Revision() > 0)
		}
	})
}

func TestRecordWithTrailingDataIsRejected(t *testing.T) {
	s := newStore(t)
	value := encoded(t, newTestEntry(t, s), sample("karlovac", 10))
	for _, after := range []string{"}", "]", "{}", "x"} {
		_, err := contracts.DecodeRecord(contracts.Key("karlovac"), append(append([]byte{}, value...), after...))
		assert.Assert(t, err != nil, after)
	}
}
