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

// InvalidError describes an invalid field of an announcement.
type InvalidError struct{ Field, Problem string }

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("announcement: %s: %s", e.Field, e.Problem) }

// Announce handles a guard's announcement. The response says when to announce again and
// to which entries. Errors are *InvalidError and ErrClosed.
func (f *Fleet) Announce(ctx context.Context, r *wirev1.AnnounceRequest) (*wirev1.AnnounceResponse, error) {
	if err := checkAnnouncement(r); err != nil {
		eventAnnouncementRejected.Log(ctx, f.logger, slog.String("from", r.GetGuardId()), slog.Any("error", err))
		return nil, err
	}
	entries := f.opts.LiveEntries()
	chosen := attach.Choose(r.GetGuardId(), r.GetZone(), entries, f.opts.AttachPolicy)
	if err := f.applyAnnouncement(r, f.isAttachedElsewhere(entries, chosen)); err != nil {
		return nil, err
	}
	resp := &wirev1.AnnounceResponse{
		EntryId:          f.opts.EntryID,
		EntryIncarnation: f.opts.Incarnation,
		Attach:           chosen,
	}
	each := proto.Size(r) + proto.Size(resp) + callOverhead
	resp.NextMs = uint32(f.announceInterval(each).Milliseconds())
	f.meter.count(kindAnnounce)
	return resp, nil
}

func (f *Fleet) announceInterval(bytesEach int) time.Duration {
	return attach.Interval(int(f.guards.Load())+f.bare.count(), bytesEach, f.opts.AnnounceIntervals)
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

// applyAnnouncement adds the guard if it is new and applies its load.
func (f *Fleet) applyAnnouncement(r *wirev1.AnnounceRequest, attachesElsewhere bool) error {
	g, err := f.findOrAddGuard(r, attachesElsewhere)
	if err != nil || g == nil {
		return err
	}
	if r.GetLeaving() {
		g.setLeaving()
	}
	g.markAnnounced()
	g.applyAnnouncedLoad(r.GetLoad())
	return nil
}

// findOrAddGuard returns the announced incarnation, adding it if necessary. It returns
// nil if the incarnation should not be added.
func (f *Fleet) findOrAddGuard(r *wirev1.AnnounceRequest, attachesElsewhere bool) (*guard, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, ErrClosed
	}
	newest := f.overrideHint(f.newest[r.GetGuardId()], r)
	if newest != nil && newest.incarnation >= r.GetGuardIncarnation() {
		// An older incarnation is accepted only while it is still known here.
		known, _ := (*f.endpoints.Load())[endpointID(r.GetGuardId(), r.GetGuardIncarnation())].(*guard)
		return known, nil
	}
	if newest != nil {
		eventGuardReplaced.Log(f.ctx, f.logger, newest.attrs()...)
		newest.supersede()
	}
	if r.GetLeaving() || attachesElsewhere {
		return nil, nil
	}
	return f.addGuard(r, nil), nil
}

// isAttachedElsewhere reports whether a guard should announce itself to other entries
// only. Its announcement arrived through the load balancer, which routes it to any
// entry in turn. If each of them kept the guard, eventually every entry would hold a
// session with every guard, and pings and memory would grow with the whole fleet. A
// draining entry is never chosen itself and accepts every guard, because its open jobs
// may need it.
func (f *Fleet) isAttachedElsewhere(entries, chosen []*wirev1.EntryInfo) bool {
	isSelf := func(e *wirev1.EntryInfo) bool { return e.GetId() == f.opts.EntryID }
	self := slices.IndexFunc(entries, isSelf)
	return self >= 0 && !entries[self].GetDraining() && !slices.ContainsFunc(chosen, isSelf)
}

// addGuard adds a guard and starts its session goroutine. The caller holds f.mu.
func (f *Fleet) addGuard(r *wirev1.AnnounceRequest, h *handshake) *guard {
	g := newGuard(f, r)
	g.handshake = h
	f.newest[g.name] = g
	f.addEndpoint(g.id, g)
	f.guards.Add(1)
	f.wg.Go(func() { g.maintainSession(f.ctx) })
	return g
}

// removeGuard removes a guard permanently. Its open starts continue on their own.
func (f *Fleet) removeGuard(g *guard) {
	f.mu.Lock()
	f.dropEndpoint(g.id, g)
	if f.newest[g.name] == g {
		delete(f.newest, g.name)
	}
	f.mu.Unlock()
	f.guards.Add(-1)
	g.withdraw()
	g.handshake.finish()
	if g.unconfirmedHint() {
		g.logHintDropped()
		return
	}
	if f.ctx.Err() == nil && !g.isLeaving() && !g.superseded.Load() {
		eventGuardLost.Log(f.ctx, f.logger, g.attrs()...)
	}
}

// Handler returns the path and the connect handler for guards' announcements.
func (f *Fleet) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	path, handler := wirev1connect.NewEntryServiceHandler(entryService{f}, o...)
	return path, f.requireSecret(handler)
}

// requireSecret rejects requests that do not carry the cluster secret.
func (f *Fleet) requireSecret(next http.Handler) http.Handler {
	if f.opts.Secret == "" {
		return next
	}
	want := sha256.Sum256([]byte("Bearer " + f.opts.Secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "cluster secret missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// entryService exposes the fleet as a connect service.
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
