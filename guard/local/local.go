// Package local serves a guard's HTTP interface on its own host: runner
// announcements, health checks and metrics.
package local

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"almondstand.dev/guard/registration"
	"almondstand.dev/settings"
	"almondstand.dev/telemetry"
)

const (
	maxBody = 16 << 10
	// Bounds on the values that a runner may announce.
	maxSlots       = 4096
	maxConnections = 65536
	maxName        = 128
	minTTL         = time.Second
	maxTTL         = 10 * time.Minute
	// announcementsPerTTL is the number of announcements that a runner is asked
	// to send within its TTL.
	announcementsPerTTL = 3
)

// announcement is the JSON body of a runner's announcement.
type announcement struct {
	Service     string            `json:"service"`
	Address     settings.Address  `json:"address"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	Zone        string            `json:"zone"`
	TTL         settings.Duration `json:"ttl"`
	Leaving     bool              `json:"leaving"`
}

// announceResponse is the response to an announcement; Next is the time until the
// next one.
type announceResponse struct {
	Next settings.Duration `json:"next"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Options configure the interface.
type Options struct {
	Registry *registration.Registry
	Metrics  *telemetry.Metrics
	Ready    *telemetry.Ready
	Now      func() time.Time
	Logger   *slog.Logger
}

// Handler returns the HTTP handler of the interface.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	telemetry.Handle(mux, opts.Metrics, opts.Ready)
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		announce(opts, w, r)
	})
	return mux
}

func announce(opts Options, w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		reply(w, http.StatusBadRequest, errorBody{errorDetail{"unreadable", "send at most 16 KiB of JSON"}})
		return
	}
	a, err := decode(raw)
	if err != nil {
		reply(w, http.StatusUnprocessableEntity, errorBody{errorDetail{"invalid", err.Error()}})
		return
	}
	if err := opts.Registry.Announce(opts.Now(), a); err != nil {
		eventRunnerRejected.Log(r.Context(), opts.Logger, slog.String("address", a.Address.String()),
			slog.String("service", a.Service), slog.String("cause", err.Error()))
		reply(w, status(err), errorBody{errorDetail{"refused", err.Error()}})
		return
	}
	reply(w, http.StatusOK, announceResponse{settings.Duration(a.TTL / announcementsPerTTL)})
}

func status(err error) int {
	if errors.Is(err, registration.ErrOccupied) {
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

// decode parses and validates an announcement.
func decode(raw []byte) (registration.Announcement, error) {
	var m announcement
	if err := settings.Decode(raw, &m); err != nil {
		return registration.Announcement{}, err
	}
	a := registration.Announcement{
		Service:     m.Service,
		Address:     netip.AddrPortFrom(m.Address.Addr().Unmap(), m.Address.Port()),
		Slots:       m.Slots,
		Connections: m.Connections,
		DataCentre:  m.Zone,
		TTL:         m.TTL.Std(),
		Leaving:     m.Leaving,
	}
	return a, validate(a)
}

func validate(a registration.Announcement) error {
	switch {
	case a.Service == "" || len(a.Service) > maxName:
		return errors.New("service: a name of 1 to 128 bytes")
	case len(a.DataCentre) > maxName:
		return errors.New("zone: a name of up to 128 bytes")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.New("address: the IP and port that the runner listens on")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.New("slots: from 1 to 4096")
	case a.Connections < 1 || a.Connections > maxConnections:
		return errors.New("connections: from 1 to 65536")
	case a.TTL < minTTL || a.TTL > maxTTL:
		return errors.New("ttl: from 1s to 10m")
	}
	return nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
