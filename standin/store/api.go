package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// gRPC status codes, used in the bodies of error responses.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeUnavailable = 14
)

// maxBody is the service's limit for a request body: a value of 1 MB in base64, and the
// fields around it.
const maxBody = 3 << 19

type header struct {
	Revision int64 `json:"revision,string"`
}

type kvMessage struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header      `json:"header"`
	Kvs    []kvMessage `json:"kvs,omitempty"`
	Count  int         `json:"count,string,omitempty"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type requestOp struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Range *rangeRequest `json:"request_range"`
}

type responseOp struct {
	Put   *putResponse   `json:"response_put,omitempty"`
	Range *rangeResponse `json:"response_range,omitempty"`
}

type putResponse struct {
	Header header `json:"header"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
	// Seconds.
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type errorMessage struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status, code int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorMessage{Error: text, Code: code, Message: text})
}

func (s *Store) route() {
	handle(s, "range", "/v3/kv/range", s.serveRange)
	handle(s, "txn", "/v3/kv/txn", s.serveTxn)
	handle(s, "grant", "/v3/lease/grant", s.serveGrant)
	handle(s, "keepalive", "/v3/lease/keepalive", s.serveKeepAlive)
	handle(s, "watch", "/v3/watch", s.serveWatch)
}

// handle registers the handler of one method, which counts the call, decodes its body and
// applies the mode before it serves the call.
func handle[T any](s *Store, method, path string, serve func(context.Context, http.ResponseWriter, *T)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		s.callCounts.add(method)
		in := new(T)
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(in); err != nil {
			writeError(w, http.StatusBadRequest, codeInvalid, "stand-in: "+err.Error())
			return
		}
		if s.applyMode(w, r) {
			serve(r.Context(), w, in)
		}
	})
}

func (s *Store) serveRange(_ context.Context, w http.ResponseWriter, in *rangeRequest) {
	s.memory.mu.Lock()
	out := s.readRange(in)
	s.memory.mu.Unlock()
	writeJSON(w, out)
}

func (s *Store) readRange(in *rangeRequest) *rangeResponse {
	s.memory.expire()
	out := &rangeResponse{Header: header{s.memory.revision}}
	for _, it := range s.memory.itemsIn(interval{string(in.Key), string(in.RangeEnd)}) {
		out.Kvs = append(out.Kvs, toMessage(it))
	}
	out.Count = len(out.Kvs)
	return out
}

func toMessage(it item) kvMessage {
	return kvMessage{
		Key:            []byte(it.key),
		Value:          it.value,
		CreateRevision: it.createRevision,
		ModRevision:    it.modRevision,
		Lease:          it.lease,
	}
}

// serveTxn serves a transaction. It supports comparisons of modification revisions for
// equality, and puts and ranges as operations.
func (s *Store) serveTxn(_ context.Context, w http.ResponseWriter, in *txnRequest) {
	for _, c := range in.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			writeError(w, http.StatusBadRequest, codeInvalid, "stand-in: only MOD EQUAL is compared")
			return
		}
	}
	if !s.leasesExist(in.Success) {
		writeError(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
		return
	}
	s.writeTxn(w, func() any { return s.transact(in) })
}

func (s *Store) leasesExist(ops []requestOp) bool {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.expire()
	for _, op := range ops {
		if op.Put == nil || op.Put.Lease == 0 {
			continue
		}
		if _, found := s.memory.leases[op.Put.Lease]; !found {
			return false
		}
	}
	return true
}

func (s *Store) transact(in *txnRequest) *txnResponse {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	out := &txnResponse{Succeeded: true}
	for _, c := range in.Compare {
		if s.memory.items[string(c.Key)].modRevision != c.ModRevision {
			out.Succeeded = false
		}
	}
	ops := in.Success
	if !out.Succeeded {
		ops = in.Failure
	}
	for _, op := range ops {
		if op.Put != nil {
			s.memory.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
			out.Responses = append(out.Responses, responseOp{Put: &putResponse{header{s.memory.revision}}})
		}
		if op.Range != nil {
			out.Responses = append(out.Responses, responseOp{Range: s.readRange(op.Range)})
		}
	}
	out.Header.Revision = s.memory.revision
	return out
}

func (s *Store) serveGrant(_ context.Context, w http.ResponseWriter, in *leaseRequest) {
	if in.TTL <= 0 {
		writeError(w, http.StatusBadRequest, codeInvalid, "stand-in: a lease needs a time to live")
		return
	}
	s.memory.mu.Lock()
	id := s.memory.grant(time.Duration(in.TTL) * time.Second)
	out := leaseResponse{Header: header{s.memory.revision}, ID: id, TTL: in.TTL}
	s.memory.mu.Unlock()
	writeJSON(w, out)
}

// serveKeepAlive responds without a time to live when the lease has expired.
func (s *Store) serveKeepAlive(_ context.Context, w http.ResponseWriter, in *leaseRequest) {
	s.memory.mu.Lock()
	ttl := s.memory.renew(in.ID)
	out := leaseResponse{Header: header{s.memory.revision}, ID: in.ID, TTL: int64(ttl / time.Second)}
	s.memory.mu.Unlock()
	writeJSON(w, keepAliveResponse{Result: out})
}
