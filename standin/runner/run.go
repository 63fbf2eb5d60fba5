package runner

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Fault is a fault that a task's payload can request.
type Fault string

// Faults that a payload can request.
const (
	// FaultError responds with status 500 after the run time.
	FaultError Fault = "error"
	// FaultTruncate sends half of the response body, then closes the connection.
	FaultTruncate Fault = "truncate"
	// FaultCorrupt sends a response whose Content-Digest doesn't match its body.
	FaultCorrupt Fault = "corrupt"
	// FaultReject rejects the task as not run.
	FaultReject Fault = "refuse"
	// FaultHang runs until the caller closes the connection.
	FaultHang Fault = "hang"
	// FaultCloseConnection runs the task, then closes the connection without a response.
	FaultCloseConnection Fault = "cut"
)

// Payload is the behavior that a task can request from the stand-in. A payload that
// isn't JSON of this form is echoed immediately.
type Payload struct {
	// Run is the run time, such as "120ms".
	Run  string `json:"run,omitempty"`
	Fail Fault  `json:"fail,omitempty"`
	// Echo is the response body, sent verbatim; if absent, the payload itself is sent.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// behavior is what a parsed payload requests.
type behavior struct {
	runTime  time.Duration
	fault    Fault
	response []byte
}

func parsePayload(body []byte) behavior {
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		return behavior{response: body}
	}
	out := behavior{fault: p.Fail, response: body}
	if d, err := time.ParseDuration(p.Run); err == nil {
		out.runTime = d
	}
	if p.Echo != nil {
		out.response = p.Echo
	}
	return out
}

// serveRun runs one task. The start is recorded after the last point at which the task
// can be rejected, so a task that is rejected as not run never counts as started.
func (r *Runner) serveRun(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxPayload))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if digest := req.Header.Get(headerDigest); digest != "" && digest != digestOf(body) {
		reject(w, http.StatusServiceUnavailable, "payload doesn't match its digest")
		return
	}
	p := parsePayload(body)
	switches := *r.switches.Load()
	if switches.RejectAll || p.fault == FaultReject {
		reject(w, http.StatusServiceUnavailable, "refused on request")
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.record.rejectedNoSlot()
		reject(w, http.StatusTooManyRequests, "no slot is free")
		return
	}
	r.record.start(req.Header.Get(headerTask), time.Now())
	defer func() {
		r.record.end()
		<-r.slots
	}()
	if switches.FailAll {
		http.Error(w, "every task fails here", http.StatusInternalServerError)
		return
	}
	if !wait(req.Context(), scaleRunTime(p.runTime, switches.RunTimeFactor), p.fault == FaultHang) {
		r.record.cancelled()
		return
	}
	writeResponse(w, p)
}

func scaleRunTime(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// wait waits for the run time, or until ctx ends if forever is set. It returns false
// when the caller closed the connection first.
func wait(ctx context.Context, d time.Duration, forever bool) bool {
	if forever {
		<-ctx.Done()
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeResponse(w http.ResponseWriter, p behavior) {
	body, digest := p.response, digestOf(p.response)
	switch p.fault {
	case FaultError:
		http.Error(w, "failed on request", http.StatusInternalServerError)
		return
	case FaultCloseConnection:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		body = body[:len(body)/2]
	case FaultCorrupt:
		digest = digestOf(append([]byte("not "), body...))
	}
	w.Header().Set(headerDigest, digest)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(p.response)))
	_, _ = w.Write(body)
	if len(body) < len(p.response) {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func reject(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(headerRan, ranNo)
	http.Error(w, reason, status)
}

// digestOf renders a Content-Digest field (RFC 9530).
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
