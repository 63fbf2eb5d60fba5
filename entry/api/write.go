package api

import (
	"encoding/base64"
	"net/http"
	"strconv"
	"time"

	"almondstand.dev/entry/submission"
)

// write sends an answer with its length and digest, so that the caller can
// detect a truncated body.
func (s *Server) write(w http.ResponseWriter, a submission.Response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set("Cache-Control", "no-store")
	h.Set(headerDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(a.Digest[:])+":")
	if a.RetryAfter > 0 {
		setRetryAfter(h, a.RetryAfter)
	}
	if s.opts.Engine.Draining() {
		// The connection is about to be closed; a request sent on it before then
		// would get no answer.
		h.Set("Connection", "close")
	}
	// Without a deadline, a caller that stops reading would hold the answer's
	// memory indefinitely.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	s.metrics.answered(a.Status)
}

func (s *Server) writeFailure(w http.ResponseWriter, id string, f *failure) {
	s.write(w, f.answer(id))
}

// setRetryAfter sets the retry headers, rounded up, since a request that is
// retried too early is rejected again.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set(headerRetryAfter, strconv.FormatInt(roundUp(d, time.Second), 10))
	h.Set(headerRetryAfterMs, strconv.FormatInt(roundUp(d, time.Millisecond), 10))
}

func roundUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}

// setNextID sets the header with an id for the caller's next job: the same id if
// it is still unused, otherwise a new one. A draining entry sets none, since its
// ids become invalid when it stops.
func (s *Server) setNextID(w http.ResponseWriter, client string, id submission.ID) {
	if s.opts.Engine.Draining() {
		return
	}
	if s.opts.Table.Find(s.now(), id, client).State != submission.Unused {
		id = s.opts.Table.Mint(client, 1)[0]
	}
	w.Header().Set(headerNext, id.String())
}
