package command_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/command"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/fleet"
	"almondstand.dev/entry/operator"
	"almondstand.dev/eventlog"
	"almondstand.dev/telemetry"
	"almondstand.dev/wire/wirev1"
)

const token = "open-sesame"

// store holds the state shared by the fake entries.
type store struct {
	mu       sync.Mutex
	revision int64
	versions map[string]contracts.Version
	live     []*wirev1.EntryInfo
}

// fakeEntry serves the operators' API from a store. If lacksContracts is set, it
// returns no contract.
type fakeEntry struct {
	id             string
	store          *store
	lacksContracts bool
	// missesBefore is the number of queries for a contract answered without it
	// before it is returned. blockUntil, when set, delays answers until it is
	// closed.
	missesBefore int
	blockUntil   chan struct{}
}

func (f *fakeEntry) All() []contract.Contract {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var list []contract.Contract
	for _, v := range f.store.versions {
		list = append(list, v.Contract)
	}
	return list
}

func (f *fakeEntry) History(client string) []contracts.Version {
	if f.blockUntil != nil {
		<-f.blockUntil
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	v, found := f.store.versions[client]
	f.missesBefore--
	if !found || f.lacksContracts || f.missesBefore >= 0 {
		return nil
	}
	return []contracts.Version{v}
}

func (f *fakeEntry) Apply(_ context.Context, c contract.Contract, e contracts.Precondition) (contracts.WriteResult, error) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	old := f.store.versions[c.Client]
	if !e.AnyRevision && e.Revision != old.Revision {
		return contracts.WriteResult{}, &contracts.ConflictError{Expected: e.Revision, InForce: old}
	}
	if old.Revision > 0 && old.Contract.SameTerms(c) {
		return contracts.WriteResult{Revision: old.Revision, Unchanged: true}, nil
	}
	f.store.revision++
	f.store.versions[c.Client] = contracts.Version{Revision: f.store.revision, Contract: c}
	return contracts.WriteResult{Revision: f.store.revision}, nil
}

func (f *fakeEntry) Retire(ctx context.Context, client string, e contracts.Precondition) (contracts.WriteResult, error) {
	f.store.mu.Lock()
	c := f.store.versions[client].Contract
	f.store.mu.Unlock()
	c.State = contract.Retired
	return f.Apply(ctx, c, e)
}

func (f *fakeEntry) Self() *wirev1.EntryInfo   { return &wirev1.EntryInfo{Id: f.id} }
func (f *fakeEntry) Live() []*wirev1.EntryInfo { return f.store.live }
func (f *fakeEntry) Endpoints() []fleet.Status { return nil }
func (f *fakeEntry) newServer(t *testing.T) *operator.Server {
	t.Helper()
	digest := sha256.Sum256([]byte(token))
	recorder := burn.NewRecorder(time.Now())
	recorder.Record(time.Now(), burn.Observation{Client: "acme"})
	s, err := operator.New(operator.Options{
		TokenDigest: hex.EncodeToString(digest[:]),
		Registry:    f, Writer: f, Members: f, Fleet: f, BurnRecorder: recorder, TrafficMeter: telemetry.NewControlTraffic(tally.NoopScope),
	})
	assert.NilError(t, err)
	return s
}

// startCluster starts entries that share a store, and sets the environment so that
// the command line calls them.
func startCluster(t *testing.T, entries ...*fakeEntry) *store {
	t.Helper()
	s := &store{versions: map[string]contracts.Version{}}
	var addresses []string
	for _, e := range entries {
		e.store = s
		server := httptest.NewServer(e.newServer(t).Handler())
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
		s.live = append(s.live, &wirev1.EntryInfo{Id: e.id, Operators: server.Listener.Addr().String()})
	}
	t.Setenv("ALMOND_OPERATORS", strings.Join(addresses, ","))
	t.Setenv("ALMOND_OPERATOR_TOKEN", token)
	return s
}

// commandResult is the result of one run of the command line.
type commandResult struct {
	status   int
	out, err string
}

func runCommand(t *testing.T, args ...string) commandResult {
	t.Helper()
	entry := command.Entry{
		Run:     func(context.Context, string) error { return nil },
		Check:   func(string) error { return errors.New("zone: missing;\nallowed: a value") },
		Example: func() any { return map[string]string{"id": "entry-1"} },
	}
	var out, errOut bytes.Buffer
	status := command.Execute(t.Context(), entry, args, &out, &errOut)
	return commandResult{status, out.String(), errOut.String()}
}

func writeContract(t *testing.T, rate float64) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "acme.json")
	text := fmt.Sprintf(`{"customer":"acme","rate":%g,"burst":10,"in_flight":10,"answer_time":"1s","services":["teardown"]}`, rate)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestApplyReportsRevisionAndConflict(t *testing.T) {
	s := startCluster(t, &fakeEntry{id: "e1"}, &fakeEntry{id: "e2"})
	path := writeContract(t, 10)
	got := runCommand(t, "contract", "apply", path, "--wait")
	assert.Equal(t, got.status, 0, got.err)
	assert.Assert(t, strings.HasPrefix(got.out, "acme: accepted at revision 1\nin force on 2 of 2 live entries"), got.out)
	got = runCommand(t, "contract", "apply", path)
	assert.Equal(t, got.out, "acme: unchanged at revision 1\n")
	got = runCommand(t, "contract", "apply", writeContract(t, 20), "--revision", "7")
	assert.Equal(t, got.status, 5)
	assert.Assert(t, strings.Contains(got.err, "revision 1") && strings.Contains(got.err, "--revision 1"), got.err)
	assert.Equal(t, strings.Count(got.err, "\n"), 1)
	got = runCommand(t, "contract", "apply", writeContract(t, 20), "--force")
	assert.Equal(t, got.status, 0, got.err)
	assert.Equal(t, s.versions["acme"].Contract.Rate, 20.0)
}

// A change is accepted, but one of two entries does not have it yet. The error
// names the entry and the exit status says that the change need not be repeated.
func TestWaitNamesTheLaggingEntry(t *testing.T) {
	startCluster(t, &fakeEntry{id: "e1"}, &fakeEntry{id: "e2", lacksContracts: true})
	got := runCommand(t, "contract", "apply", writeContract(t, 10), "--wait=300ms")
	assert.Equal(t, got.status, 6, got.err)
	assert.Assert(t, strings.Contains(got.err, "in force on 1 of 2 live entries") && strings.Contains(got.err, "not seen on: e2"), got.err)
}

// One entry never answers; another has the change only after the first query. Only
// the unresponsive entry is reported: waiting for it must not keep the command from
// querying the other one again.
func TestWaitQueriesOthersWhileOneIsUnresponsive(t *testing.T) {
	blockUntil := make(chan struct{})
	startCluster(t, &fakeEntry{id: "e1"}, &fakeEntry{id: "e2", missesBefore: 1}, &fakeEntry{id: "e3", blockUntil: blockUntil})
	t.Cleanup(func() { close(blockUntil) })
	got := runCommand(t, "contract", "apply", writeContract(t, 10), "--wait=1s", "--force")
	assert.Equal(t, got.status, 6, got.err)
	assert.Assert(t, strings.Contains(got.err, "in force on 2 of 3 live entries"), got.err)
	assert.Assert(t, strings.Contains(got.err, "not seen on: e3."), got.err)
}

func TestApplyChecksAllFilesFirst(t *testing.T) {
	s := startCluster(t, &fakeEntry{id: "e1"})
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"customer":"bad","rate":-1}`), 0o600))
	got := runCommand(t, "contract", "apply", writeContract(t, 10), bad)
	assert.Equal(t, got.status, 1)
	assert.Assert(t, strings.Contains(got.err, "bad.json") && strings.Contains(got.err, "rate: read -1"), got.err)
	assert.Equal(t, len(s.versions), 0)
}

func TestReadAndRetire(t *testing.T) {
	startCluster(t, &fakeEntry{id: "e1"})
	assert.Equal(t, runCommand(t, "contract", "apply", writeContract(t, 10)).status, 0)
	got := runCommand(t, "contract", "get", "acme")
	_, err := contract.Decode([]byte(got.out))
	assert.NilError(t, err, "get prints what apply takes")
	assert.Assert(t, strings.Contains(runCommand(t, "contract", "list").out, "acme"))
	got = runCommand(t, "contract", "retire", "acme")
	assert.Equal(t, got.out, "acme: retired at revision 2\n")
	assert.Assert(t, strings.Contains(runCommand(t, "contract", "history", "acme").out, "retired"))
	assert.Equal(t, runCommand(t, "contract", "get", "nobody").status, 1)
}

// The first address belongs to a host that was replaced; the next one answers.
func TestNextAddressIsTried(t *testing.T) {
	startCluster(t, &fakeEntry{id: "e1"})
	t.Setenv("ALMOND_OPERATORS", "127.0.0.1:1,"+os.Getenv("ALMOND_OPERATORS"))
	assert.Equal(t, runCommand(t, "contract", "list").status, 0)
	t.Setenv("ALMOND_OPERATORS", "127.0.0.1:1")
	got := runCommand(t, "contract", "list")
	assert.Equal(t, got.status, 1)
	assert.Assert(t, strings.Contains(got.err, "no entry answers"), got.err)
}

func TestReportsNameMissingEntries(t *testing.T) {
	s := startCluster(t, &fakeEntry{id: "e1"}, &fakeEntry{id: "e2"})
	s.live = append(s.live, &wirev1.EntryInfo{Id: "e3", Operators: "127.0.0.1:1"})
	got := runCommand(t, "report", "burn", "--output", "json")
	assert.Equal(t, got.status, 0, got.err)
	var report burn.Report
	assert.NilError(t, json.Unmarshal([]byte(got.out), &report))
	assert.DeepEqual(t, report.Entries, []string{"e1", "e2"})
	assert.DeepEqual(t, report.Missing, []string{"e3"})
	assert.Equal(t, report.Rows[0].Answers, uint64(2))
	assert.Assert(t, strings.Contains(runCommand(t, "report", "burn", "-o", "html").out, "<svg"))
	got = runCommand(t, "report", "control")
	assert.Assert(t, strings.Contains(got.out, "e2") && strings.Contains(got.out, "no answer"), got.out)
	assert.Equal(t, runCommand(t, "report", "burn", "-o", "xml").status, 1)
}

func TestErrorsAreOneLineWithAdvice(t *testing.T) {
	got := runCommand(t, "settings", "check", "x.json")
	assert.Equal(t, got.status, 1)
	assert.Equal(t, got.err, "almondstand: x.json: zone: missing; allowed: a value\n")
	t.Setenv("ALMOND_OPERATORS", "")
	got = runCommand(t, "contract", "list")
	assert.Assert(t, strings.Contains(got.err, "give --operators IP:port or set ALMOND_OPERATORS"), got.err)
	startCluster(t, &fakeEntry{id: "e1"})
	t.Setenv("ALMOND_OPERATOR_TOKEN", "wrong")
	got = runCommand(t, "contract", "list")
	assert.Assert(t, strings.Contains(got.err, "check ALMOND_OPERATOR_TOKEN"), got.err)
}

// startCallerServer starts a server of the callers' API that returns the same
// answer for every PUT, and returns a pointer to the last job it received.
func startCallerServer(t *testing.T, status int, body string) *[]byte {
	t.Helper()
	var job []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.WriteString(w, `{"submissions":["id1"]}`)
			return
		}
		job, _ = io.ReadAll(r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	t.Setenv("ALMOND_CALLERS", server.Listener.Addr().String())
	t.Setenv("ALMOND_TOKEN", "t")
	return &job
}

func writeJobFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestSubmitPrintsOneResultPerTask(t *testing.T) {
	sum := sha256.Sum256([]byte("ok"))
	job := startCallerServer(t, http.StatusOK, fmt.Sprintf(`{"submission":"id1","outcome":"complete","tasks":[{"payload":%q,"length":2,"digest":%q,"run_time":"51ms"}]}`,
		base64.StdEncoding.EncodeToString([]byte("ok")), hex.EncodeToString(sum[:])))
	path := writeJobFile(t, `{"service":"teardown","tasks":[{"kind":"lookup","text":"part 7","run_time":"200ms"}]}`)
	got := runCommand(t, "submit", path)
	assert.Equal(t, got.status, 0, got.err)
	assert.Assert(t, strings.Contains(got.out, "51ms") && strings.Contains(got.out, "ok"), got.out)
	assert.Equal(t, string(*job), `{"service":"teardown","tasks":[{"kind":"lookup","payload":"cGFydCA3","run_time":"200ms"}]}`)
	got = runCommand(t, "submit", path, "-o", "json")
	assert.Assert(t, strings.HasPrefix(got.out, `{"index":0,"payload":"b2s="`), got.out)
}

func TestSubmitExitStatusReflectsTheOutcome(t *testing.T) {
	path := writeJobFile(t, `{"service":"teardown","tasks":[{"text":"x"}]}`)
	for ran, want := range map[string]int{"yes": 2, "no": 3, "unknown": 4} {
		startCallerServer(t, http.StatusBadGateway, fmt.Sprintf(`{"submission":"id1","error":{"code":"c","message":"m","ran":%q},"tasks":[{"ran":%q,"code":"c"}]}`, ran, ran))
		got := runCommand(t, "submit", path)
		assert.Equal(t, got.status, want, got.err)
		assert.Assert(t, strings.Contains(got.err, "ran: "+ran), got.err)
	}
	got := runCommand(t, "submit", writeJobFile(t, `{"service":"teardown","tasks":[{"txt":"x"}]}`))
	assert.Equal(t, got.status, 1)
	assert.Assert(t, strings.Contains(got.err, "tasks[0].txt"), got.err)
	got = runCommand(t, "submit", writeJobFile(t, `{"service":"teardown","tasks":[{"text":"x","payload":"eA=="}]}`))
	assert.Assert(t, strings.Contains(got.err, "tasks[0].text"), got.err)
}

func TestEventsListsTheCatalogue(t *testing.T) {
	assert.Equal(t, runCommand(t, "events", "-o", "markdown").out, eventlog.Render(eventlog.Catalogue()))
	assert.Assert(t, strings.Contains(runCommand(t, "events").out, "operator.change_accepted"))
	assert.Assert(t, strings.HasPrefix(runCommand(t, "version").out, "almondstand "))
	assert.Assert(t, strings.Contains(runCommand(t, "completion", "bash").out, "almondstand"))
}

func TestExampleJobIsAccepted(t *testing.T) {
	job := startCallerServer(t, http.StatusBadGateway, `{"error":{"code":"c","message":"m","ran":"no"}}`)
	got := runCommand(t, "submit", "../../examples/job.json")
	assert.Equal(t, got.status, 3, got.err)
	assert.Assert(t, bytes.Contains(*job, []byte(`"kind":"torque-card"`)))
}
