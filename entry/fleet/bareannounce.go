package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

// bareAnnounceRequest is the JSON body of a runner's announcement.
type bareAnnounceRequest struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Zone        string `json:"zone"`
	TTL         string `json:"ttl"`
	Leaving     bool   `json:"leaving"`
}

type bareAnnounceResponse struct {
	Next string `json:"next"`
}

// BareHandler serves POST /v1/announce for runners without a guard.
func (f *Fleet) BareHandler() http.Handler { return f.requireSecret(http.HandlerFunc(f.serveBare)) }

func (f *Fleet) serveBare(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST", http.StatusMethodNotAllowed)
		return
	}
	next, err := f.handleBareAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		eventAnnouncementRejected.Log(r.Context(), f.logger,
			slog.String("from", r.RemoteAddr), slog.Any("error", err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(bareAnnounceResponse{Next: next.String()})
}

func (f *Fleet) handleBareAnnouncement(body io.Reader) (time.Duration, error) {
	var a bareAnnounceRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return 0, &InvalidError{Field: "body", Problem: err.Error()}
	}
	ttl, err := time.ParseDuration(a.TTL)
	if err != nil {
		return 0, &InvalidError{Field: "ttl", Problem: fmt.Sprintf("%q is not a duration such as \"10s\"", a.TTL)}
	}
	return f.AnnounceBare(f.opts.Now(), BareAnnouncement{
		Service:     a.Service,
		Address:     a.Address,
		DataCentre:  a.Zone,
		Slots:       a.Slots,
		Connections: a.Connections,
		TTL:         ttl,
		Leaving:     a.Leaving,
	})
}
