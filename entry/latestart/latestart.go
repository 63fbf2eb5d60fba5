// Package latestart exchanges late starts between entries: an entry that may have missed what guards sent
// asks the others, which were sent it too.
package latestart

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

const (
	// listTimeout bounds the wait for the list of entries, which the store sends within some milliseconds.
	listTimeout = 100 * time.Millisecond
	// dialTimeout is for the connection, which the other host's kernel accepts: the network takes some
	// milliseconds, and a lost packet is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// answerTimeout is the time for the answers if there is one: that of an entry whose host is gone never
	// comes, and tasks wait for it.
	answerTimeout = 300 * time.Millisecond
	// firstAnswerTimeout is the time for the first answer. Entries that accept a connection are there, though
	// they may be short of processor time.
	firstAnswerTimeout = 800 * time.Millisecond
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
	peers := c.peers(ctx)
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	answers := make(chan answer, len(peers))
	for _, address := range peers {
		go func() { answers <- c.ask(ctx, address) }()
	}
	timeout := time.After(answerTimeout)
	inTime, answered := true, 0
	asked = len(peers)
	for pending := asked; pending > 0 && (inTime || answered == 0); {
		select {
		case a := <-answers:
			pending--
			late = append(late, a.late...)
			switch {
			case a.err == nil:
				answered++
			case errors.Is(a.err, syscall.ECONNREFUSED):
				// The process has ended, and what it knew is gone.
				asked--
			}
		case <-timeout:
			inTime = false
		}
	}
	return late, asked, asked - answered
}

// peers returns the addresses of the entries to ask.
func (c *Client) peers(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	peers := c.members.Peers(ctx)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxAsked)]
}

// answer is what asking one entry resulted in.
type answer struct {
	late []planner.EndpointLateStart
	err  error
}

// ask asks one entry over a new connection: an older one may have been cut unnoticed.
func (c *Client) ask(ctx context.Context, address string) answer {
	transport := fleetwire.NewTransport(dialTimeout)
	defer transport.Close()
	client := fleetwire.NewClient(&http.Client{Transport: transport}, address)
	res, err := client.LateStarts(ctx, connect.NewRequest(&wirev1.LateStartsRequest{Entry: c.entry}))
	if err != nil {
		return answer{err: err}
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
	return answer{late: late}
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
