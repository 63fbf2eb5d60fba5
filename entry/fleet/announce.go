package fleet

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"almondstand.dev/entry/fleet/attach"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// InvalidError says what is wrong with an announcement.
type InvalidError struct{ Field, Problem string }

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("announcement: %s: %s", e.Field, e.Problem) }

// Announce takes a guard's announcement and answers when to come back and which
// entries to announce to. Errors are *InvalidError and ErrClosed.
func (f *Fleet) Announce(ctx context.Context, r *wirev1.AnnounceRequest) (*wirev1.AnnounceResponse, error) {
	if err := checkAnnouncement(r); err != nil {
		eventAnnouncementRejected.Log(ctx, f.logger, slog.String("from", r.GetGuardId()), slog.Any("error", err))
		return nil, err
	}
	entries := f.o.Attach()
	chosen := attach.Choose(r.GetGuardId(), r.GetZone(), entries, f.o.AttachPolicy)
	if err := f.learn(r, f.leftToOthers(entries, chosen)); err != nil {
		return nil, err
	}
	resp := &wirev1.AnnounceResponse{
		EntryId:          f.o.EntryID,
		EntryIncarnation: f.o.Incarnation,
		Attach:           chosen,
	}
	each := proto.Size(r) + proto.Size(resp) + callOverhead
	resp.NextMs = uint32(f.announceInterval(each).Milliseconds())
	f.meter.count(kindAnnounce)
	return resp, nil
}

func (f *Fleet) announceInterval(bytesEach int) time.Duration {
	return attach.Interval(int(f.guards.Load())+f.bare.count(), bytesEach, f.o.Pace)
}

func checkAnnouncement(r *wirev1.AnnounceRequest) error {
	switch {
	case r.GetGuardId() == "":
		return &InvalidError{Field: "guard_id", Problem: "missing"}
	case r.GetGuardIncarnation() == 0:
		return &InvalidError{Field: "guard_incarnation", Problem: "missing"}
	case r.GetService() == "":
		return &InvalidError{Field: "service", Problem: "missing"}
	}
	return checkAddress(r.GetAddress())
}

func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return &InvalidError{Field: "address", Problem: fmt.Sprintf("%q is not an IP and port", address)}
	}
	return nil
}

// learn adds the guard when it is new and takes its load.
func (f *Fleet) learn(r *wirev1.AnnounceRequest, others bool) error {
	g, err := f.guardOf(r, others)
	if err != nil || g == nil {
		return err
	}
	if r.GetLeaving() {
		g.leave()
	}
	g.noteAnnounced()
	g.loadFromAnnouncement(r.GetLoad())
	return nil
}

// guardOf finds or adds the incarnation that announces itself; nil when it is not
// worth adding.
func (f *Fleet) guardOf(r *wirev1.AnnounceRequest, others bool) (*guard, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, ErrClosed
	}
	newest := f.overNamed(f.newest[r.GetGuardId()], r)
	if newest != nil && newest.incarnation >= r.GetGuardIncarnation() {
		// An older incarnation is taken up only if its session is held still.
		known, _ := (*f.endpoints.Load())[endpointID(r.GetGuardId(), r.GetGuardIncarnation())].(*guard)
		return known, nil
	}
	if newest != nil {
		eventGuardReplaced.Log(f.ctx, f.logger, newest.attrs()...)
		newest.supersede()
	}
	if r.GetLeaving() || others {
		return nil, nil
	}
	return f.add(r, nil), nil
}

// leftToOthers reports whether a guard is to announce itself to other entries
// only. It came here through the balancer, which leads it to any entry in turn:
// kept, every entry would hold a session with every guard in the end, and pings
// and memory would grow with the whole fleet. A draining entry is no candidate
// itself and takes what comes: its open jobs may need it.
func (f *Fleet) leftToOthers(entries, chosen []*wirev1.EntryInfo) bool {
	isSelf := func(e *wirev1.EntryInfo) bool { return e.GetId() == f.o.EntryID }
	self := slices.IndexFunc(entries, isSelf)
	return self >= 0 && !entries[self].GetDraining() && !slices.ContainsFunc(chosen, isSelf)
}

// add starts keeping a guard; f.mu is held.
func (f *Fleet) add(r *wirev1.AnnounceRequest, h *handshake) *guard {
	g := newGuard(f, r)
	g.handshake = h
	f.newest[g.name] = g
	f.addEndpoint(g.id, g)
	f.guards.Add(1)
	f.wg.Go(func() { g.keep(f.ctx) })
	return g
}

// forget takes a guard out for good; its open starts go on by themselves.
func (f *Fleet) forget(g *guard) {
	f.mu.Lock()
	f.dropEndpoint(g.id, g)
	if f.newest[g.name] == g {
		delete(f.newest, g.name)
	}
	f.mu.Unlock()
	f.guards.Add(-1)
	g.withdraw()
	g.handshake.settle()
	if g.named() {
		g.droppedUnconfirmed()
		return
	}
	if f.ctx.Err() == nil && !g.isLeaving() && !g.superseded.Load() {
		eventGuardLost.Log(f.ctx, f.logger, g.attrs()...)
	}
}

// Handler returns the connect service for guards' announcements and its path.
func (f *Fleet) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	path, handler := wirev1connect.NewEntryServiceHandler(entryService{f}, o...)
	return path, f.authorized(handler)
}

// authorized lets only holders of the cluster secret through.
func (f *Fleet) authorized(next http.Handler) http.Handler {
	if f.o.Secret == "" {
		return next
	}
	want := sha256.Sum256([]byte("Bearer " + f.o.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "cluster secret missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// entryService serves the fleet by connect.
type entryService struct{ f *Fleet }

// Announce implements wirev1connect.EntryServiceHandler.
func (s entryService) Announce(ctx context.Context, r *connect.Request[wirev1.AnnounceRequest]) (*connect.Response[wirev1.AnnounceResponse], error) {
	resp, err := s.f.Announce(ctx, r.Msg)
	var invalid *InvalidError
	switch {
	case err == nil:
		return connect.NewResponse(resp), nil
	case errors.As(err, &invalid):
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
}
