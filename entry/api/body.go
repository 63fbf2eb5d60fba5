package api

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
)

// body is a request's body with its digest. The user of a body calls release
// after its last use.
type body struct {
	bytes   []byte
	digest  [sha256.Size]byte
	release func()
}

// readBody reads a request's body within the size limits and checks it against
// the Content-Digest header, if the caller sent one.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*body, *failure) {
	if f := checkMedia(r); f != nil {
		return nil, f
	}
	if r.ContentLength > s.opts.MaxBody {
		return nil, s.tooLarge()
	}
	reader := &budgetReader{
		src:    http.MaxBytesReader(w, r.Body, s.opts.MaxBody),
		server: s,
	}
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(min(r.ContentLength+bytes.MinRead, maxPreallocated)))
	}
	if _, err := buf.ReadFrom(reader); err != nil {
		reader.release()
		return nil, s.readFailure(err)
	}
	b := &body{bytes: buf.Bytes(), digest: sha256.Sum256(buf.Bytes()), release: reader.release}
	if f := checkDigest(r, b.digest); f != nil {
		b.release()
		return nil, f
	}
	return b, nil
}

// maxPreallocated bounds, in bytes, the buffer that is allocated for a declared
// Content-Length before any of the body has arrived.
const maxPreallocated = 64 << 10

func (s *Server) tooLarge() *failure {
	return notStarted(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body may have at most %d bytes", s.opts.MaxBody)
}

func (s *Server) readFailure(err error) *failure {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return s.tooLarge()
	case errors.Is(err, errBodyBudget):
		return retryLater(http.StatusServiceUnavailable, CodeBusy, s.opts.RetryAfter, "too many large requests are open")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notStarted(http.StatusRequestTimeout, CodeBodyTimeout, "the body did not arrive in time")
	}
	return notStarted(http.StatusBadRequest, CodeBadRequest, "the body was cut short")
}

func checkMedia(r *http.Request) *failure {
	if r.Header.Get("Content-Encoding") != "" {
		return notStarted(http.StatusUnsupportedMediaType, CodeUnsupportedMediaType, "send the body without Content-Encoding")
	}
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil || media != "application/json" {
		return notStarted(http.StatusUnsupportedMediaType, CodeUnsupportedMediaType, "send the body as application/json")
	}
	return nil
}

// checkDigest checks the sha-256 member of Content-Digest (RFC 9530), if any.
func checkDigest(r *http.Request, actual [sha256.Size]byte) *failure {
	for _, member := range strings.Split(strings.Join(r.Header.Values(headerDigest), ","), ",") {
		algorithm, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		if algorithm != "sha-256" {
			continue
		}
		encoded, colons := strings.CutPrefix(value, ":")
		encoded, end := strings.CutSuffix(encoded, ":")
		declared, err := base64.StdEncoding.DecodeString(encoded)
		if !colons || !end || err != nil {
			return notStarted(http.StatusBadRequest, CodeBadRequest, "Content-Digest: write sha-256=:<base64>:")
		}
		if subtle.ConstantTimeCompare(declared, actual[:]) != 1 {
			return notStarted(http.StatusBadRequest, CodeDigestMismatch, "the body does not match its Content-Digest")
		}
	}
	return nil
}

var errBodyBudget = errors.New("limit on the total size of open request bodies reached")

// budgetReader counts the bytes it reads towards the limit for all open
// requests. The limit on a single body does not prevent many large bodies from
// exhausting memory together.
type budgetReader struct {
	src     io.Reader
	server  *Server
	counted int64
}

func (c *budgetReader) Read(p []byte) (int, error) {
	n, err := c.src.Read(p)
	c.counted += int64(n)
	if c.server.openBodyBytes.Add(int64(n)) > c.server.opts.MaxOpenBody {
		return n, errBodyBudget
	}
	return n, err
}

func (c *budgetReader) release() {
	c.server.openBodyBytes.Add(-c.counted)
	c.counted = 0
}
