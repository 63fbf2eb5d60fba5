package operator_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/entry/operator"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/wirev1"
)

const token = "open-sesame"

// fakes implements all dependencies of the server.
type fakes struct {
	versions []contracts.Version
	written  contracts.WriteResult
	err      error
	applied  []contract.Contract
	expected []contracts.Precondition
}

func (f *fakes) All() []contract.Contract {
	if len(f.versions) == 0 {
		return nil
	}
	return []contract.Contract{f.versions[0].Contract}
}

func (f *fakes) History(client string) []contracts.Version {
	if len(f.versions) == 0 || f.versions[0].Contract.Client != client {
		return nil
	}
	return f.versions
}

func (f *fakes) Apply(_ context.Context, c contract.Contract, e contracts.Precondition) (contracts.WriteResult, error) {
	f.applied = append(f.applied, c)
	f.expected = append(f.expected, e)
	return f.written, f.err
}

func (f *fakes) Retire(_ context.Context, _ string, e contracts.Precondition) (contracts.WriteResult, error) {
	f.expected = append(f.expected, e)
	return f.written, f.err
}

func (f *fakes) Self() *wirev1.EntryInfo { return &wirev1.EntryInfo{Id: "e1"} }

func (f *fakes) Live() []*wirev1.EntryInfo {
	return []*wirev1.EntryInfo{f.Self(), {Id: "e2", Operators: "10.0.0.2:7003", Draining: true}}
}

func (f *fakes) Endpoints() []fleet.Status {
	return []fleet.Status{{ID: "g2"}, {ID: "g1", Service: "teardown", Slots: 8}}
}

func serve(t *testing.T, f *fakes) string {
	t.Helper()
	digest := sha256.Sum256([]byte(token))
	recorder := burn.NewRecorder(time.Now())
	recorder.Record(time.Now(), burn.Observation{Client: "acme", Outcome: burn.Late})
	control := telemetry.NewControlTraffic(tally.NoopScope)
	control.Kind("exchange").Call(10, 20)
	s, err := operator.New(operator.Options{
		TokenDigest: hex.EncodeToString(digest[:]),
		Registry:    f, Writer: f, Members: f, Fleet: f, BurnRecorder: recorder, TrafficMeter: control,
	})
	assert.NilError(t, err)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// call sends a request with the operators' token. Each of headers has the form
// "Name: value".
func call(t *testing.T, method, url, body string, headers ...string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	assert.NilError(t, err)
	return resp, buf.Bytes()
}

func acmeVersion(revision int64) contracts.Version {
	return contracts.Version{Revision: revision, Contract: contract.Contract{
		Client: "acme", State: contract.Active, Rate: 10, Burst: 100, InFlight: 100, Priority: 5,
		AnswerTime: contract.Duration(time.Second), RunLimit: contract.Duration(time.Second), Objective: 0.99,
		Services: []string{"teardown"}, TokenDigests: []string{strings.Repeat("ab", 32)},
	}}
}

func encode(t *testing.T, v contracts.Version) string {
	t.Helper()
	raw, err := v.Contract.Encode()
	assert.NilError(t, err)
	return string(raw)
}

func errorCode(t *testing.T, raw []byte) operator.Code {
	t.Helper()
	var e operator.ErrorBody
	assert.NilError(t, json.Unmarshal(raw, &e), "%s", raw)
	assert.Assert(t, e.Error.Message != "")
	return e.Error.Code
}

func TestTokenIsRequired(t *testing.T) {
	url := serve(t, &fakes{})
	for _, auth := range []string{"", "Bearer wrong", "Basic " + token, token} {
		resp, raw := call(t, http.MethodGet, url+"/v1/contracts", "", "Authorization: "+auth)
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, "%q", auth)
		assert.Equal(t, errorCode(t, raw), operator.CodeUnauthenticated)
	}
	resp, _ := call(t, http.MethodGet, url+"/healthz", "", "Authorization: ")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, err := operator.New(operator.Options{TokenDigest: "abc"})
	assert.ErrorIs(t, err, operator.ErrTokenDigest)
}

func TestReadContracts(t *testing.T) {
	url := serve(t, &fakes{versions: []contracts.Version{acmeVersion(7), acmeVersion(3)}})
	resp, raw := call(t, http.MethodGet, url+"/v1/contracts/acme", "")
	assert.Equal(t, resp.Header.Get("ETag"), `"7"`)
	var v contracts.Version
	assert.NilError(t, json.Unmarshal(raw, &v))
	assert.Equal(t, v.Contract.Rate, 10.0)
	_, raw = call(t, http.MethodGet, url+"/v1/contracts", "")
	var list operator.ContractList
	assert.NilError(t, json.Unmarshal(raw, &list))
	assert.Equal(t, list.Contracts[0].Revision, int64(7))
	_, raw = call(t, http.MethodGet, url+"/v1/contracts/acme/history", "")
	var history operator.History
	assert.NilError(t, json.Unmarshal(raw, &history))
	assert.Equal(t, len(history.Versions), 2)
	resp, raw = call(t, http.MethodGet, url+"/v1/contracts/nobody", "")
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, errorCode(t, raw), operator.CodeNotFound)
}

func TestPutRequiresExpectedVersion(t *testing.T) {
	f := &fakes{written: contracts.WriteResult{Revision: 8}}
	url := serve(t, f) + "/v1/contracts/acme"
	body := encode(t, acmeVersion(0))
	for _, h := range []string{`If-Match: "7"`, "If-Match: *", "If-None-Match: *"} {
		resp, raw := call(t, http.MethodPut, url, body, h)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", raw)
		assert.Equal(t, resp.Header.Get("ETag"), `"8"`)
	}
	assert.DeepEqual(t, f.expected, []contracts.Precondition{{Revision: 7}, {AnyRevision: true}, {}})
	resp, raw := call(t, http.MethodPut, url, body)
	assert.Equal(t, resp.StatusCode, http.StatusPreconditionRequired)
	assert.Equal(t, errorCode(t, raw), operator.CodePreconditionRequired)
	for _, h := range []string{`If-Match: "x"`, `If-Match: "0"`, `If-None-Match: "7"`} {
		resp, _ := call(t, http.MethodPut, url, body, h)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "%s", h)
	}
	assert.Equal(t, len(f.applied), 3)
}

func TestPutValidatesTheContract(t *testing.T) {
	f := &fakes{}
	url := serve(t, f) + "/v1/contracts/acme"
	resp, raw := call(t, http.MethodPut, url, `{"customer":"acme","rate":-1}`, "If-Match: *")
	assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity)
	var e operator.ErrorBody
	assert.NilError(t, json.Unmarshal(raw, &e))
	assert.Assert(t, len(e.Error.Problems) > 0)
	other := acmeVersion(0)
	other.Contract.Client = "other"
	resp, _ = call(t, http.MethodPut, url, encode(t, other), "If-Match: *")
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	resp, raw = call(t, http.MethodPut, url, strings.Repeat(" ", contract.MaxSize+1), "If-Match: *")
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, errorCode(t, raw), operator.CodeContractTooLarge)
	assert.Equal(t, len(f.applied), 0)
}

// TestChangeErrors: each kind of failed change has its own status and code, since
// each requires a different action of the operator: compare with the version in
// force, retry later, or read the contract.
func TestChangeErrors(t *testing.T) {
	cases := []struct {
		err    error
		status int
		code   operator.Code
	}{
		{&contracts.ConflictError{Expected: 3, InForce: acmeVersion(7)}, http.StatusConflict, operator.CodeConflict},
		{contracts.ErrStoreUnavailable, http.StatusServiceUnavailable, operator.CodeStoreUnavailable},
		{contracts.ErrUnknownOutcome, http.StatusGatewayTimeout, operator.CodeUnknownOutcome},
		{contracts.ErrNotFound, http.StatusNotFound, operator.CodeNotFound},
		{&contract.InvalidError{Problems: []contract.Problem{{Path: "x"}}}, http.StatusUnprocessableEntity, operator.CodeInvalidContract},
	}
	for _, c := range cases {
		f := &fakes{err: c.err}
		url := serve(t, f)
		for _, send := range []func() (*http.Response, []byte){
			func() (*http.Response, []byte) {
				return call(t, http.MethodPut, url+"/v1/contracts/acme", encode(t, acmeVersion(0)), `If-Match: "3"`)
			},
			func() (*http.Response, []byte) {
				return call(t, http.MethodPost, url+"/v1/contracts/acme/retire", "")
			},
		} {
			resp, raw := send()
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, errorCode(t, raw), c.code)
			var e operator.ErrorBody
			assert.NilError(t, json.Unmarshal(raw, &e))
			assert.Equal(t, e.InForce != nil, c.code == operator.CodeConflict)
		}
		assert.DeepEqual(t, f.expected, []contracts.Precondition{{Revision: 3}, {AnyRevision: true}})
	}
}

func TestReports(t *testing.T) {
	url := serve(t, &fakes{versions: []contracts.Version{acmeVersion(7)}})
	_, raw := call(t, http.MethodGet, url+"/v1/burn?series=true", "")
	var snapshot burn.Snapshot
	assert.NilError(t, json.Unmarshal(raw, &snapshot))
	assert.Equal(t, snapshot.Clients[0].Objective, 0.99)
	assert.Equal(t, snapshot.Clients[0].Windows[0][burn.Late], uint64(1))
	assert.Equal(t, len(snapshot.Clients[0].Series), 1)
	_, raw = call(t, http.MethodGet, url+"/v1/control", "")
	var control operator.Control
	assert.NilError(t, json.Unmarshal(raw, &control))
	assert.Equal(t, control.Traffic[0].Received, int64(20))
	assert.Assert(t, control.RSSBytes > 0)
	_, raw = call(t, http.MethodGet, url+"/v1/entries", "")
	var entries operator.Entries
	assert.NilError(t, json.Unmarshal(raw, &entries))
	assert.Equal(t, entries.Entries[1].Operators, "10.0.0.2:7003")
	_, raw = call(t, http.MethodGet, url+"/v1/endpoints", "")
	var endpoints operator.Endpoints
	assert.NilError(t, json.Unmarshal(raw, &endpoints))
	assert.Equal(t, endpoints.Endpoints[0].ID, "g1")
}
