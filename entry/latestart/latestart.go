// Package latestart exchanges late starts between entries: an entry that may have missed what guards sent
// asks the others, which were sent it too.
package latestart

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

const (
	// askTimeout bounds a question. Tasks wait for the answers; of an entry whose host is gone there is
	// none.
	askTimeout = 300 * time.Millisecond
	// dialTimeout is for the connection, which the other host's kernel accepts: the network takes some
	// milliseconds, and a lost packet is sent again only after a second.
	dialTimeout = 150 * time.Millisecond
	// maxAsked bounds the number of entries asked: guards send late starts to all entries.
	maxAsked = 4
)

// Members knows the other entries; see entry/registry.
type Members interface {
	// Peers returns the addresses of the other entries. It waits until the store has been asked for them
	// or ctx ends.
	Peers(ctx context.Context) []string
}

// Client asks the other entries for their late starts.
type Client struct {
	entry   string
	members Members
}

// NewClient returns a client for the entry with the given id.
func NewClient(entry string, m Members) *Client { return &Client{entry, m} }

// LateStarts implements jobs.Peers.
func (c *Client) LateStarts(ctx context.Context) (late []planner.EndpointLateStart, asked, unanswered int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := c.members.Peers(ctx)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAsked)]
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range peers {
		calls.Go(func() {
			answer, err := c.ask(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
				unanswered++
			}
			late = append(late, answer...)
		})
	}
	calls.Wait()
	return late, len(peers), unanswered
}

// ask asks one entry over a new connection: an older one may have been cut unnoticed.
func (c *Client) ask(ctx context.Context, address string) ([]planner.EndpointLateStart, error) {
	transport := fleetwire.NewTransport(dialTimeout)
	defer transport.Close()
	client := fleetwire.NewClient(&http.Client{Transport: transport}, address)
	res, err := client.LateStarts(ctx, connect.NewRequest(&wirev1.LateStartsRequest{Entry: c.entry}))
	if err != nil {
		return nil, err
	}
	var late []planner.EndpointLateStart
	for _, g := range res.Msg.GetGuards() {
		for _, l := range g.GetLateStarts() {
			late = append(late, planner.EndpointLateStart{
				Endpoint: g.GetGuard(),
				Task:     fleetwire.FromTaskName(l.GetTask()),
				Left:     time.Duration(l.GetLeftMs()) * time.Millisecond,
			})
		}
	}
	return late, nil
}

// Source has the late starts that guards have sent this entry; see entry/jobs.
type Source interface {
	LateStarts() []planner.EndpointLateStart
}

// Server answers the questions of other entries.
type Server struct{ source Source }

// NewServer returns a server that answers with the late starts of a source.
func NewServer(s Source) *Server { return &Server{s} }

// LateStarts answers another entry.
func (s *Server) LateStarts(context.Context, *connect.Request[wirev1.LateStartsRequest]) (*connect.Response[wirev1.LateStartsResponse], error) {
	byGuard := map[string]*wirev1.GuardLateStarts{}
	res := &wirev1.LateStartsResponse{}
	for _, l := range s.source.LateStarts() {
		g := byGuard[l.Endpoint]
		if g == nil {
			g = &wirev1.GuardLateStarts{Guard: l.Endpoint}
			byGuard[l.Endpoint] = g
			res.Guards = append(res.Guards, g)
		}
		g.LateStarts = append(g.LateStarts, &wirev1.LateStart{Task: fleetwire.ToTaskName(l.Task), LeftMs: uint32(l.Left.Milliseconds())})
	}
	return connect.NewResponse(res), nil
}
