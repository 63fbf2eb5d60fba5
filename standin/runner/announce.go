package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondstand.dev/settings"
)

const (
	announcePath    = "/v1/announce"
	announceTimeout = 2 * time.Second
	// retryDelay is the delay before a failed announcement is retried.
	retryDelay = 300 * time.Millisecond
	// drainAnnounceInterval is the interval between announcements while the runner drains.
	drainAnnounceInterval = 500 * time.Millisecond
)

// Announcement is what a runner announces about itself.
type Announcement struct {
	Service     string            `json:"service"`
	Address     string            `json:"address"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
	DataCentre  string            `json:"zone,omitempty"`
	TTL         settings.Duration `json:"ttl"`
	Draining    bool              `json:"leaving"`
}

// announceResponse contains the time until the next announcement.
type announceResponse struct {
	Next settings.Duration `json:"next"`
}

// Announce periodically announces the runner, with the given address, to every target
// until ctx ends.
func (r *Runner) Announce(ctx context.Context, address string) error {
	client := &http.Client{Timeout: announceTimeout}
	var announcers sync.WaitGroup
	for _, target := range r.options.AnnounceTo {
		announcers.Go(func() { r.announceTo(ctx, client, strings.TrimRight(target, "/"), address) })
	}
	announcers.Wait()
	<-ctx.Done()
	return nil
}

func (r *Runner) announceTo(ctx context.Context, client *http.Client, target, address string) {
	for ctx.Err() == nil {
		wasDraining := r.draining.Load()
		next, err := r.announceOnce(ctx, client, target, address, wasDraining)
		if err != nil {
			announceFailed.Log(ctx, r.options.Logger, slog.String("target", target), slog.String("error", err.Error()))
			next = retryDelay
		}
		r.waitForNext(ctx, next, wasDraining)
	}
}

// waitForNext waits until the next announcement is due. The start of draining ends the
// wait, so that it is announced immediately.
func (r *Runner) waitForNext(ctx context.Context, next time.Duration, wasDraining bool) {
	drainCh := r.drainCh
	if wasDraining {
		drainCh = nil
		next = min(next, drainAnnounceInterval)
	}
	timer := time.NewTimer(next)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-drainCh:
	case <-ctx.Done():
	}
}

func (r *Runner) announceOnce(ctx context.Context, client *http.Client, target, address string, draining bool) (time.Duration, error) {
	body, err := json.Marshal(Announcement{
		Service:     r.options.Service,
		Address:     address,
		Slots:       r.options.Slots,
		Connections: r.options.Connections,
		DataCentre:  r.options.DataCentre,
		TTL:         settings.Duration(r.options.TTL),
		Draining:    draining,
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+announcePath, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if r.options.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+r.options.Secret)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPayload))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("announcement failed with status %s: %s", resp.Status, bytes.TrimSpace(raw))
	}
	var response announceResponse
	if err := json.Unmarshal(raw, &response); err != nil {
		return 0, err
	}
	if response.Next <= 0 {
		return r.options.TTL / 3, nil
	}
	return min(response.Next.Std(), r.options.TTL/3), nil
}
