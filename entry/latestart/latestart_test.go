package latestart

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/dispatch/work"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

type members []string

func (m members) Peers(context.Context) []string { return append([]string(nil), m...) }

type source []planner.EndpointLateStart

func (s source) LateStarts() []planner.EndpointLateStart { return s }

// peer serves the late starts of a source.
type peer struct {
	wirev1connect.UnimplementedFleetServiceHandler
	server *Server
}

func (p peer) LateStarts(ctx context.Context, req *connect.Request[wirev1.LateStartsRequest]) (*connect.Response[wirev1.LateStartsResponse], error) {
	return p.server.LateStarts(ctx, req)
}

func servePeer(t *testing.T, s Source) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(fleetwire.NewHandler(peer{server: NewServer(s)}))
	server := fleetwire.NewServer(mux)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// silentPeer accepts connections and never answers, as a suspended entry.
func silentPeer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against late starts that are lost between two entries, or kept back by a third one that doesn't
// answer.
func TestLateStartsOfAllEntriesThatAnswer(t *testing.T) {
	late := func(guard, job string, index int) planner.EndpointLateStart {
		return planner.EndpointLateStart{Endpoint: guard, Task: work.TaskID{Job: job, Index: index}, Left: 3 * time.Second}
	}
	first := source{late("g1", "a", 0), late("g2", "a", 1), late("g1", "b", 2)}
	second := source{late("g2", "c", 0)}
	c := NewClient("e", members{servePeer(t, first), silentPeer(t), servePeer(t, second)})
	start := time.Now()
	all, asked, unanswered := c.LateStarts(t.Context())
	assert.Assert(t, time.Since(start) < 2*answerTimeout)
	assert.Equal(t, asked, 3)
	assert.Equal(t, unanswered, 1)
	got := map[planner.EndpointLateStart]bool{}
	for _, l := range all {
		got[l] = true
	}
	want := map[planner.EndpointLateStart]bool{}
	for _, l := range append(first, second...) {
		want[l] = true
	}
	assert.DeepEqual(t, got, want)
}

// Guards against tasks that wait for entries that have ended.
func TestEndedEntryIsNotCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, asked, unanswered := NewClient("e", members{l.Addr().String()}).LateStarts(t.Context())
	assert.Equal(t, asked, 0)
	assert.Equal(t, unanswered, 0)
}

// Guards against a task that runs twice: the only entry that knows of its late start is short of processor
// time, and answers late.
func TestFirstAnswerIsAwaited(t *testing.T) {
	late := planner.EndpointLateStart{Endpoint: "g", Task: work.TaskID{Job: "a"}, Left: 3 * time.Second}
	c := NewClient("e", members{servePeer(t, slowSource{late}), silentPeer(t)})
	all, _, unanswered := c.LateStarts(t.Context())
	assert.DeepEqual(t, all, []planner.EndpointLateStart{late})
	assert.Equal(t, unanswered, 1)
}

// slowSource has one late start and returns it after answerTimeout.
type slowSource struct{ late planner.EndpointLateStart }

func (s slowSource) LateStarts() []planner.EndpointLateStart {
	time.Sleep(answerTimeout + 100*time.Millisecond)
	return []planner.EndpointLateStart{s.late}
}

// Guards against tasks that wait for long: no entry answers.
func TestSilentEntriesAreNotAwaitedForLong(t *testing.T) {
	start := time.Now()
	_, asked, unanswered := NewClient("e", members{silentPeer(t), silentPeer(t)}).LateStarts(t.Context())
	assert.Equal(t, asked, 2)
	assert.Equal(t, unanswered, 2)
	assert.Assert(t, time.Since(start) < 2*firstAnswerTimeout)
}

// Guards against questions to all of many entries.
func TestFewOfManyEntriesAreAsked(t *testing.T) {
	address := servePeer(t, source{})
	_, asked, unanswered := NewClient("e", members{address, address, address, address, address, address}).LateStarts(t.Context())
	assert.Equal(t, asked, maxAsked)
	assert.Equal(t, unanswered, 0)
}
