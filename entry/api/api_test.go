package api

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/dispatch/scheduler"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/engine"
	"almondstand.dev/entry/member"
	"almondstand.dev/entry/quota"
	"almondstand.dev/entry/submission"
	"almondstand.dev/entry/task"
	"almondstand.dev/wire/wirev1"
)

// fakes implements all dependencies of the server.
type fakes struct {
	mu         sync.Mutex
	contracts  map[string]contract.Contract // by token
	run        func(ctx context.Context, j engine.Job) (*engine.Answer, error)
	runs       int
	draining   bool
	decision   quota.Decision
	releases   int
	undos      int
	peerStatus member.Status
	forward    func(*wirev1.ForwardRequest) (*wirev1.ForwardResponse, error)
	isolated   bool
	observed   []burn.Outcome
}

func (f *fakes) ByToken(digest [32]byte) (contract.Contract, bool) {
	for token, c := range f.contracts {
		if sha256.Sum256([]byte(token)) == digest {
			return c, true
		}
	}
	return contract.Contract{}, false
}

func (f *fakes) ByClient(client string) (contract.Contract, bool) {
	for _, c := range f.contracts {
		if c.Client == client {
			return c, true
		}
	}
	return contract.Contract{}, false
}

func (f *fakes) Submit(ctx context.Context, j engine.Job) (*engine.Answer, error) {
	f.mu.Lock()
	f.runs++
	f.mu.Unlock()
	a, err := f.run(ctx, j)
	if err == nil {
		j.OnEnd()
	}
	return a, err
}

func (f *fakes) HasService(service string) bool { return service != "nowhere" }
func (f *fakes) Draining() bool                 { return f.draining }

func (f *fakes) Admit(time.Time, string, int) quota.Decision { return f.decision }

func (f *fakes) Status(string, uint64) member.Status { return f.peerStatus }

func (f *fakes) Forward(_ context.Context, _ string, r *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
	return f.forward(r)
}

func (f *fakes) AwaitServing(context.Context) (bool, time.Duration) {
	return !f.isolated, 1500 * time.Millisecond
}

func (f *fakes) Record(_ time.Time, o burn.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, o.Outcome)
}

// echo completes each task with its own payload.
func echo(_ context.Context, j engine.Job) (*engine.Answer, error) {
	a := &engine.Answer{}
	for _, t := range j.Tasks {
		digest := sha256.Sum256(t.Payload)
		a.Outcomes = append(a.Outcomes, task.Outcome{Ran: task.RanYes, Payload: t.Payload, Digest: digest[:], RunTime: 51 * time.Millisecond})
	}
	return a, nil
}

// failing answers a job of two tasks: the first fails with the given code and
// ran value, the second never runs.
func failing(code task.Code, ran task.Ran) func(context.Context, engine.Job) (*engine.Answer, error) {
	return func(context.Context, engine.Job) (*engine.Answer, error) {
		return &engine.Answer{Code: code, Message: "test failure", Outcomes: []task.Outcome{{Code: code, Ran: ran}, {Code: code, Ran: task.RanNo}}}, nil
	}
}

func rejecting(err error, retryAfter time.Duration) func(context.Context, engine.Job) (*engine.Answer, error) {
	return func(context.Context, engine.Job) (*engine.Answer, error) {
		return nil, &engine.Refusal{Err: err, RetryAfter: retryAfter}
	}
}

const (
	entryID = "zagreb-1"
	jobText = `{"service":"teardown","tasks":[{"kind":"lookup","payload":"aGVsbG8=","size":5,"run_time":"200ms"},{"payload":""}]}`
)

func newFakes() *fakes {
	f := &fakes{run: echo, peerStatus: member.Live}
	f.decision = quota.Decision{OK: true, Release: func() { f.releases++ }, Undo: func() { f.undos++ }}
	shop := contract.Contract{Client: "shop", State: contract.Active, Services: []string{"teardown"}, AnswerTime: contract.Duration(time.Second)}
	other := shop
	other.Client = "other"
	retired := shop
	retired.Client, retired.State = "retired", contract.Retired
	f.contracts = map[string]contract.Contract{"t-shop": shop, "t-other": other, "t-retired": retired}
	return f
}

func newServer(f *fakes, incarnation uint64) *Server {
	return New(Options{
		EntryID:   entryID,
		Table:     submission.New(submission.Options{Entry: entryID, Incarnation: incarnation, Key: submission.Key{1}}),
		Engine:    f,
		Contracts: f,
		Quota:     f,
		Peers:     f,
		Readiness: f,
		Recorder:  f,
		MaxBody:   4096,
	})
}

func handler(s *Server) http.Handler {
	mux := http.NewServeMux()
	s.RegisterHandlers(mux)
	return mux
}

type request struct {
	method, path, token, body string
	header                    map[string]string
}

func (r request) send(h http.Handler) *httptest.ResponseRecorder {
	req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// decoded decodes a failure body and checks the headers that every answer has.
func decoded(t *testing.T, w *httptest.ResponseRecorder) failureBody {
	t.Helper()
	assert.Equal(t, w.Header().Get(headerEntry), entryID)
	sum := sha256.Sum256(w.Body.Bytes())
	assert.Equal(t, w.Header().Get(headerDigest), "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	var b failureBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b))
	return b
}

func mintID(t *testing.T, h http.Handler, token string) string {
	t.Helper()
	w := request{method: "POST", path: "/v1/submissions", token: token}.send(h)
	assert.Equal(t, w.Code, http.StatusOK, w.Body)
	var b mintedBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b))
	return "/v1/submissions/" + b.Submissions[0]
}

func TestPostJobReturnsAllResults(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	w := request{method: "POST", path: "/v1/jobs", token: "t-shop", body: jobText}.send(h)
	assert.Equal(t, w.Code, http.StatusOK, w.Body)
	decoded(t, w)
	var b completeBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b))
	assert.Equal(t, b.Outcome, submission.Complete)
	assert.Equal(t, len(b.Tasks), 2)
	assert.Equal(t, string(b.Tasks[0].Payload), "hello")
	assert.Equal(t, b.Tasks[0].Length, 5)
	assert.Equal(t, b.Tasks[0].RunTime, "51ms")
	assert.Equal(t, b.Tasks[1].Length, 0)
	assert.DeepEqual(t, f.observed, []burn.Outcome{burn.OnTime})
	assert.Equal(t, f.releases, 1)
	assert.Equal(t, w.Header().Get(headerRetryAfter), "")
	next, err := submission.Parse(w.Header().Get(headerNext))
	assert.NilError(t, err)
	assert.Assert(t, next.String() != b.Submission)
	w = request{method: "GET", path: "/v1/submissions/" + b.Submission, token: "t-shop"}.send(h)
	assert.Equal(t, w.Code, http.StatusGone)
}

// TestJobFailureResponses checks status, headers and body of each kind of
// failure, both for POST /v1/jobs and for PUT under a submission id.
func TestJobFailureResponses(t *testing.T) {
	cases := []struct {
		name    string
		setup   func(*fakes)
		token   string
		body    string
		header  map[string]string
		status  int
		code    Code
		ran     task.Ran
		retry   string // Retry-After, Retry-After-Ms
		kind    []burn.Outcome
		onIDRan task.Ran // set if it differs under an id
	}{
		{name: "no token", token: "none", status: 401, code: CodeUnauthenticated, ran: "no", onIDRan: "unknown"},
		{name: "retired", token: "t-retired", status: 403, code: CodeContractRetired, ran: "no"},
		{name: "malformed", body: `{`, status: 400, code: CodeBadRequest, ran: "no"},
		{name: "unknown field", body: `{"service":"teardown","tasks":[{"pay":1}]}`, status: 400, code: CodeBadRequest, ran: "no"},
		{name: "too large", body: strings.Repeat(" ", 5000), status: 413, code: CodeBodyTooLarge, ran: "no"},
		{name: "form", header: map[string]string{"Content-Type": "application/x-www-form-urlencoded"}, status: 415, code: CodeUnsupportedMediaType, ran: "no"},
		{name: "gzip", header: map[string]string{"Content-Encoding": "gzip"}, status: 415, code: CodeUnsupportedMediaType, ran: "no"},
		{name: "digest", header: map[string]string{headerDigest: "sha-256=:AAAA:"}, status: 400, code: CodeDigestMismatch, ran: "no"},
		{name: "bad digest", header: map[string]string{headerDigest: "sha-256=AAAA"}, status: 400, code: CodeBadRequest, ran: "no"},
		{name: "service not allowed", body: strings.Replace(jobText, "teardown", "billing", 1), status: 403, code: CodeServiceForbidden, ran: "no"},
		{name: "no such service", body: strings.Replace(jobText, "teardown", "nowhere", 1), status: 404, code: CodeServiceUnknown, ran: "no"},
		{name: "over quota", setup: func(f *fakes) { f.decision = quota.Decision{RetryAfter: 1001 * time.Millisecond} },
			status: 429, code: CodeOverQuota, ran: "no", retry: "2 1001", kind: []burn.Outcome{burn.RejectedOverContract}},
		{name: "never fits", setup: func(f *fakes) { f.decision = quota.Decision{Permanent: true} },
			status: 422, code: CodeJobTooLarge, ran: "no", kind: []burn.Outcome{burn.RejectedOverContract}},
		{name: "draining", setup: func(f *fakes) { f.draining = true }, status: 503, code: CodeDraining, ran: "no", retry: "1 1000", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "isolated", setup: func(f *fakes) { f.isolated = true }, status: 503, code: CodeIsolated, ran: "no", retry: "2 1500", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "backlog", setup: func(f *fakes) { f.run = rejecting(scheduler.ErrBacklog, 2300*time.Microsecond) },
			status: 429, code: CodeBacklog, ran: "no", retry: "1 3", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "no endpoint", setup: func(f *fakes) { f.run = rejecting(scheduler.ErrNoEndpoint, 0) },
			status: 503, code: CodeNoEndpoint, ran: "no", retry: "1 1000", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "queue full", setup: func(f *fakes) { f.run = rejecting(scheduler.ErrQueueFull, time.Second) },
			status: 503, code: CodeQueueFull, ran: "no", retry: "1 1000", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "drain race", setup: func(f *fakes) { f.run = rejecting(engine.ErrDraining, 0) },
			status: 503, code: CodeDraining, ran: "no", retry: "1 1000", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "endpoints refused", setup: func(f *fakes) { f.run = failing(task.CodeRefused, task.RanNo) },
			status: 503, code: Code(task.CodeRefused), ran: "no", retry: "1 1000", kind: []burn.Outcome{burn.RejectedWithinContract}},
		{name: "task failed", setup: func(f *fakes) { f.run = failing(task.CodeFailed, task.RanYes) },
			status: 502, code: Code(task.CodeFailed), ran: "yes", kind: []burn.Outcome{burn.Failed}},
		{name: "endpoint lost", setup: func(f *fakes) { f.run = failing(task.CodeLost, task.RanUnknown) },
			status: 502, code: Code(task.CodeLost), ran: "unknown", kind: []burn.Outcome{burn.Failed}},
		{name: "answer time", setup: func(f *fakes) { f.run = failing(task.CodeDeadline, task.RanNo) },
			status: 504, code: Code(task.CodeDeadline), ran: "no", kind: []burn.Outcome{burn.Failed}},
	}
	for _, c := range cases {
		for _, underID := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				f := newFakes()
				h := handler(newServer(f, 1))
				r := request{method: "POST", path: "/v1/jobs", token: "t-shop", body: jobText, header: c.header}
				if underID && c.token == "" {
					r.method, r.path = "PUT", mintID(t, h, "t-shop")
				} else if underID {
					r.method, r.path = "PUT", "/v1/submissions/"+entryID+".1.1.AAAAAAAAAAAAAAAAAAAAAA"
				}
				if c.token != "" {
					r.token = c.token
				}
				if c.body != "" {
					r.body = c.body
				}
				if c.setup != nil {
					c.setup(f)
				}
				if underID && c.token == "t-retired" {
					return // a retired contract cannot get an id
				}
				w := r.send(h)
				b := decoded(t, w)
				want := c.ran
				if underID && c.onIDRan != "" {
					want = c.onIDRan
				}
				assert.Equal(t, w.Code, c.status, w.Body)
				assert.Equal(t, b.Error.Code, c.code)
				assert.Equal(t, b.Error.Ran, want)
				retry := strings.TrimSpace(w.Header().Get(headerRetryAfter) + " " + w.Header().Get(headerRetryAfterMs))
				assert.Equal(t, retry, c.retry)
				assert.DeepEqual(t, f.observed, c.kind)
			})
		}
	}
}

func TestRejectedIDCanBeSubmittedAgain(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	put := request{method: "PUT", path: mintID(t, h, "t-shop"), token: "t-shop", body: jobText}
	f.run = rejecting(scheduler.ErrBacklog, time.Second)
	w := put.send(h)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, "/v1/submissions/"+w.Header().Get(headerNext), put.path)
	f.run = echo
	assert.Equal(t, f.undos, 1)
	assert.Equal(t, f.releases, 0)
	assert.Equal(t, put.send(h).Code, 200)
	assert.Equal(t, put.send(h).Code, 200)
	assert.Equal(t, f.runs, 2)
	assert.Equal(t, f.releases, 1)
	assert.Equal(t, f.undos, 1)
}

// TestRepeatedRequestsShareOneJob: a caller submits a job, loses its connection
// and repeats the request. It gets the same answer whether the job is still
// running or has ended, the job runs once, and a different body under the same
// id is rejected.
func TestRepeatedRequestsShareOneJob(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	running, proceed := make(chan struct{}), make(chan struct{})
	f.run = func(ctx context.Context, j engine.Job) (*engine.Answer, error) {
		close(running)
		<-proceed
		assert.Check(t, ctx.Err()) // the job continues after its first caller disconnects
		return echo(ctx, j)
	}
	put := request{method: "PUT", path: mintID(t, h, "t-shop"), token: "t-shop", body: jobText}
	ctx, disconnect := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	bodies := make([]string, 3)
	wg.Go(func() {
		req := httptest.NewRequestWithContext(ctx, "PUT", put.path, strings.NewReader(put.body))
		req.Header.Set("Authorization", "Bearer t-shop")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		bodies[0] = w.Body.String()
	})
	<-running
	disconnect()
	get := request{method: "GET", path: put.path, token: "t-shop"}
	assert.Equal(t, get.send(h).Code, http.StatusAccepted)
	other := put
	other.body = strings.Replace(jobText, "hello", "hullo", 1) + " "
	w := other.send(h)
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, decoded(t, w).Error.Ran, task.RanUnknown)
	wg.Go(func() { bodies[1] = put.send(h).Body.String() })
	close(proceed)
	wg.Wait()
	bodies[2] = put.send(h).Body.String()
	assert.Equal(t, bodies[0], bodies[1])
	assert.Equal(t, bodies[0], bodies[2])
	assert.Equal(t, get.send(h).Body.String(), bodies[0])
	assert.Equal(t, f.runs, 1)
}

// TestMalformedRepeatReportsUnknown: a job ran under an id, and a malformed
// repeat of the request cannot be read. If the answer said that the job did not
// run, the caller would submit it under a new id and it would run twice.
func TestMalformedRepeatReportsUnknown(t *testing.T) {
	f := newFakes()
	f.peerStatus = member.Live
	h := handler(newServer(f, 1))
	put := request{method: "PUT", path: mintID(t, h, "t-shop"), token: "t-shop", body: jobText}
	assert.Equal(t, put.send(h).Code, 200)
	put.body = strings.Repeat(" ", 5000)
	for _, path := range []string{put.path, "/v1/submissions/osijek-1.1.1.AAAAAAAAAAAAAAAAAAAAAA"} {
		put.path = path
		w := put.send(h)
		assert.Equal(t, w.Code, http.StatusRequestEntityTooLarge)
		assert.Equal(t, decoded(t, w).Error.Ran, task.RanUnknown)
	}
	assert.Equal(t, f.runs, 1)
}

// TestDelete: cancelling a running job answers every waiting request at once;
// cancelling an unused id prevents any later job under it from running.
func TestDelete(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	unused := mintID(t, h, "t-shop")
	w := request{method: "DELETE", path: unused, token: "t-shop"}.send(h)
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, strings.Contains(w.Body.String(), `"outcome":"cancelled","ran":"no"`), w.Body)
	w = request{method: "PUT", path: unused, token: "t-shop", body: jobText}.send(h)
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, decoded(t, w).Error, errorBody{Code: "cancelled", Message: "cancelled before it was run", Ran: "no"})
	assert.Equal(t, f.runs, 0)

	started := make(chan struct{})
	f.run = func(ctx context.Context, j engine.Job) (*engine.Answer, error) {
		close(started)
		<-ctx.Done()
		return failing(task.CodeCancelled, task.RanUnknown)(ctx, j)
	}
	put := request{method: "PUT", path: mintID(t, h, "t-shop"), token: "t-shop", body: jobText}
	var wg sync.WaitGroup
	wg.Go(func() {
		w := put.send(h)
		assert.Check(t, w.Code == http.StatusConflict)
	})
	<-started
	w = request{method: "DELETE", path: put.path, token: "t-shop"}.send(h)
	assert.Equal(t, w.Code, 200)
	assert.Assert(t, strings.Contains(w.Body.String(), `"outcome":"cancelled","ran":"unknown"`), w.Body)
	wg.Wait()
	assert.Equal(t, len(f.observed), 0)
}

// TestOtherClient: a client cannot read, cancel or repeat another client's
// submission, and the error is the same whether or not the submission exists.
func TestOtherClient(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	used, unused := mintID(t, h, "t-shop"), mintID(t, h, "t-shop")
	assert.Equal(t, request{method: "PUT", path: used, token: "t-shop", body: jobText}.send(h).Code, 200)
	for _, method := range []string{"GET", "DELETE", "PUT"} {
		var errs []errorBody
		for _, path := range []string{used, unused, "/v1/submissions/" + entryID + ".1.1.AAAAAAAAAAAAAAAAAAAAAA"} {
			w := request{method: method, path: path, token: "t-other", body: jobText}.send(h)
			assert.Equal(t, w.Code, http.StatusNotFound)
			errs = append(errs, decoded(t, w).Error)
		}
		assert.Equal(t, errs[0], errs[1])
		assert.Equal(t, errs[0], errs[2])
	}
	assert.Equal(t, request{method: "GET", path: used, token: "t-shop"}.send(h).Code, 200)
	assert.Equal(t, request{method: "GET", path: unused, token: "t-shop"}.send(h).Code, 404)
	assert.Equal(t, f.runs, 1)
}

// TestForward: a repeated request arrives at an entry that does not own the id
// and is forwarded to the owner.
func TestForward(t *testing.T) {
	owner, ownerFakes := newServer(newFakes(), 7), newFakes()
	owner.opts.Engine = ownerFakes
	path := mintID(t, handler(owner), "t-shop")
	f := newFakes()
	var to uint64
	f.forward = func(r *wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) {
		to = r.GetToIncarnation()
		return owner.HandleForward(context.Background(), r)
	}
	s := newServer(f, 1)
	s.opts.EntryID = "karlovac-1"
	s.opts.Table = submission.New(submission.Options{Entry: "karlovac-1", Incarnation: 1})
	h := handler(s)
	first := request{method: "PUT", path: path, token: "t-shop", body: jobText}.send(h)
	assert.Equal(t, first.Code, 200)
	again := request{method: "PUT", path: path, token: "t-shop", body: jobText}.send(handler(owner))
	assert.Equal(t, first.Body.String(), again.Body.String())
	assert.Equal(t, first.Header().Get(headerDigest), again.Header().Get(headerDigest))
	assert.Equal(t, ownerFakes.runs, 1)
	assert.Equal(t, f.runs, 0)
	assert.Equal(t, to, uint64(7))
	assert.Equal(t, request{method: "GET", path: path, token: "t-shop"}.send(h).Code, 200)
	assert.Equal(t, request{method: "DELETE", path: path, token: "t-shop"}.send(h).Code, 200)
	assert.Equal(t, request{method: "GET", path: path, token: "t-other"}.send(h).Code, 404)

	ownerFakes.run = rejecting(scheduler.ErrBacklog, 1500*time.Millisecond)
	fresh := mintID(t, handler(owner), "t-shop")
	w := request{method: "PUT", path: fresh, token: "t-shop", body: jobText}.send(h)
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get(headerRetryAfter), "2")
	assert.Equal(t, w.Header().Get(headerRetryAfterMs), "1500")
}

// TestOwnerUnreachable: the owner of an id does not respond, fails during the
// forwarded call, or has left the cluster. The job may have run, so the answer
// is sent at once and never says that the job did not run.
func TestOwnerUnreachable(t *testing.T) {
	failingCall := func(*wirev1.ForwardRequest) (*wirev1.ForwardResponse, error) { return nil, errors.New("cut") }
	cases := []struct {
		name       string
		owner      string
		peerStatus member.Status
		status     int
		code       Code
		retry      string
	}{
		{"silent", "osijek-1", member.Silent, 503, CodeOwnerUnresponsive, "1"},
		{"gone", "osijek-1", member.Gone, 410, CodeSubmissionLost, ""},
		{"call lost", "osijek-1", member.Live, 503, CodeOwnerUnresponsive, "1"},
		{"earlier incarnation of this entry", entryID, member.Live, 410, CodeSubmissionLost, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakes()
			f.peerStatus, f.forward = c.peerStatus, failingCall
			h := handler(newServer(f, 5))
			for _, method := range []string{"PUT", "GET", "DELETE"} {
				w := request{method: method, path: "/v1/submissions/" + c.owner + ".1.1.AAAAAAAAAAAAAAAAAAAAAA", token: "t-shop", body: jobText}.send(h)
				b := decoded(t, w)
				assert.Equal(t, w.Code, c.status)
				assert.Equal(t, b.Error.Code, c.code)
				assert.Equal(t, b.Error.Ran, task.RanUnknown)
				assert.Equal(t, w.Header().Get(headerRetryAfter), c.retry)
			}
			assert.Equal(t, f.runs, 0)
		})
	}
}

func TestMint(t *testing.T) {
	h := handler(newServer(newFakes(), 1))
	cases := []struct {
		body   string
		status int
		count  int
	}{
		{"", 200, 1}, {`{"count":100}`, 200, 100}, {`{"count":101}`, 400, 0}, {`{"count":0}`, 400, 0}, {`{"n":1}`, 400, 0}, {`{} 1`, 400, 0},
	}
	for _, c := range cases {
		w := request{method: "POST", path: "/v1/submissions", token: "t-shop", body: c.body}.send(h)
		assert.Equal(t, w.Code, c.status, w.Body)
		var b mintedBody
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b))
		assert.Equal(t, len(b.Submissions), c.count)
	}
}

func TestPathsAndMethods(t *testing.T) {
	h := handler(newServer(newFakes(), 1))
	for path, status := range map[string]int{"/v1/jobs": 405, "/v1/submissions": 405, "/v1/submissions/x": 405, "/v2": 404} {
		w := request{method: "PATCH", path: path}.send(h)
		assert.Equal(t, w.Code, status)
		decoded(t, w)
	}
	w := request{method: "GET", path: "/v1/submissions/x", token: "t-shop"}.send(h)
	assert.Equal(t, w.Code, 404)
}

// TestLongJobOutlivesReadTimeout: a job runs longer than ReadTimeout. If the
// read deadline stayed set while the handler waits, net/http would treat its
// expiry as a closed connection and cancel the request's context, and with it
// the job. net/http clears the deadline once the whole body has been read; this
// test fails if that changes.
func TestLongJobOutlivesReadTimeout(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		f := newFakes()
		f.run = func(ctx context.Context, j engine.Job) (*engine.Answer, error) {
			select {
			case <-ctx.Done():
				return failing(task.CodeCancelled, task.RanUnknown)(ctx, j)
			case <-time.After(400 * time.Millisecond):
				return echo(ctx, j)
			}
		}
		srv := httptest.NewUnstartedServer(nil)
		srv.Config = NewHTTPServer(handler(newServer(f, 1)), slog.New(slog.DiscardHandler))
		srv.Config.ReadTimeout = 100 * time.Millisecond
		srv.Start()
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetHTTP1(!http2)
		transport.Protocols.SetUnencryptedHTTP2(http2)
		req, err := http.NewRequest("POST", srv.URL+"/v1/jobs", strings.NewReader(jobText))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer t-shop")
		resp, err := (&http.Client{Transport: transport}).Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, 200, string(body))
		assert.Equal(t, resp.ProtoMajor == 2, http2)
		transport.CloseIdleConnections()
		srv.Close()
	}
}

// TestPanicReleasesRepeats: a panic while a job runs must not leave repeated
// requests under its id waiting forever, nor let the job run again.
func TestPanicReleasesRepeats(t *testing.T) {
	f := newFakes()
	h := handler(newServer(f, 1))
	f.run = func(context.Context, engine.Job) (*engine.Answer, error) { panic("fault") }
	put := request{method: "PUT", path: mintID(t, h, "t-shop"), token: "t-shop", body: jobText}
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		put.send(h)
	}()
	w := put.send(h)
	assert.Equal(t, w.Code, 500)
	assert.Equal(t, decoded(t, w).Error.Ran, task.RanUnknown)
	assert.Equal(t, f.runs, 1)
}

func TestTotalSizeOfOpenBodiesIsLimited(t *testing.T) {
	s := newServer(newFakes(), 1)
	s.opts.MaxOpenBody = 10
	w := request{method: "POST", path: "/v1/jobs", token: "t-shop", body: jobText}.send(handler(s))
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, decoded(t, w).Error.Code, CodeBusy)
	assert.Equal(t, s.openBodyBytes.Load(), int64(0))
}

func TestDecodeErrorsIncludeThePath(t *testing.T) {
	cases := map[string]string{
		`{"service":"a","tasks":[{"payload":"x","pay":1}]}`:              "tasks[0].payload: must be a string in base64",
		`{"service":"a","tasks":[{},{"pay":[[[[]]]]}]}`:                  "tasks[1].pay: unknown field",
		`{"service":"a","Tasks":[]}`:                                     "Tasks: unknown field",
		`{"service":"a","service":"b"}`:                                  "service: given twice",
		`{"service":"a","tasks":[{"run_time":5}]}`:                       `tasks[0].run_time: must be a duration such as "200ms"`,
		`{"service":"a","tasks":[{"run_time":"5"}]}`:                     `tasks[0].run_time: write a duration such as "200ms"`,
		`{"service":"a","tasks":[{"size":-1}]}`:                          "tasks[0].size: must not be negative",
		`{"service":"a","tasks":[{"size":1.5}]}`:                         "tasks[0].size: must be a whole number of bytes",
		`{"service":"a","tasks":[{"kind":"a b"}]}`:                       "tasks[0].kind: 1 to 64 letters, digits or one of . _ -",
		`{"service":"a","tasks":[]}`:                                     "tasks: required: 1 to 100 tasks",
		`{"service":"a","tasks":[` + strings.Repeat(`{},`, 100) + `{}]}`: "tasks: at most 100 tasks are allowed",
		`{"service":"a","idempotent":true,"tasks":[{},{}]}`:              "idempotent: only a job of one task may be idempotent",
		`{"tasks":[{}]}`:                   "service: required: 1 to 64 letters, digits or one of . _ -",
		`{"service":"a","tasks":[{}]}}`:    "more data after the body's JSON value",
		`{"service":"a","tasks":[{}`:       "tasks: malformed JSON: it ends too early",
		`{"service":"a","tasks":{}}`:       "tasks: must be an array",
		`[]`:                               "must be an object",
		strings.Repeat(`{"tasks":[`, 5000): "tasks[0].tasks: unknown field",
	}
	for body, want := range cases {
		_, err := decodeJob([]byte(body))
		assert.Error(t, err, want)
	}
}

// FuzzDecodeJob checks that any input decodes to a job within the limits or to
// an error short enough for an answer.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(jobText))
	f.Add([]byte(`{"service":"a","idempotent":true,"tasks":[{"kind":"k","size":0,"run_time":"1h"}]}`))
	f.Add([]byte(`{"tasks":[{"payload":null}],"service":"\ud800"}`))
	f.Add([]byte(strings.Repeat(`[`, 20000)))
	f.Add([]byte("{\"a\xff\":1}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := decodeJob(body)
		var field *FieldError
		if err != nil {
			assert.Assert(t, errors.As(err, &field))
			assert.Assert(t, len(err.Error()) < 512)
			return
		}
		assert.Assert(t, validName(j.service, maxServiceName))
		assert.Assert(t, 1 <= len(j.tasks) && len(j.tasks) <= MaxTasks)
		for _, task := range j.tasks {
			assert.Assert(t, task.Declared >= 0)
			assert.Assert(t, task.Kind == "" || validName(task.Kind, maxKind))
		}
	})
}
