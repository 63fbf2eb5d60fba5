package api

import (
	"context"
	"net/http"

	"almondstand.dev/contract"
	"almondstand.dev/entry/submission"
	"almondstand.dev/wire/wirev1"
)

type mintedBody struct {
	Submissions []string `json:"submissions"`
}

// mint serves POST /v1/submissions.
func (s *Server) mint(w http.ResponseWriter, r *http.Request) {
	c, f := s.authenticate(w, r)
	if f != nil {
		s.writeFailure(w, "", f)
		return
	}
	b, f := s.readBody(w, r)
	if f != nil {
		s.writeFailure(w, "", f)
		return
	}
	defer b.release()
	count, err := decodeCount(b.bytes)
	if err != nil {
		s.writeFailure(w, "", notStarted(http.StatusBadRequest, CodeBadRequest, "%s", err))
		return
	}
	if f := s.checkServing(r.Context(), c); f != nil {
		s.writeFailure(w, "", f)
		return
	}
	ids := s.opts.Table.Mint(c.Client, count)
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = id.String()
	}
	s.write(w, newAnswer(http.StatusOK, mintedBody{texts}))
}

// post serves POST /v1/jobs.
func (s *Server) post(w http.ResponseWriter, r *http.Request) {
	arrived := s.now()
	c, f := s.authenticate(w, r)
	if f != nil {
		s.writeFailure(w, "", f)
		return
	}
	b, f := s.readBody(w, r)
	if f != nil {
		s.writeFailure(w, "", f)
		return
	}
	defer b.release()
	id := s.opts.Table.Mint(c.Client, 1)[0]
	j := job{id: id, text: id.String(), client: c.Client, body: b, arrived: arrived}
	a := s.submitOnce(r.Context(), j)
	s.setNextID(w, c.Client, id)
	s.write(w, a)
}

// target is the submission named by the id in the request path, with the
// contract of the caller.
type target struct {
	contract contract.Contract
	id       submission.ID
	text     string
}

// target authenticates a request under an id and parses the id. On failure it
// writes the response and returns false.
func (s *Server) target(w http.ResponseWriter, r *http.Request) (target, bool) {
	text := r.PathValue("id")
	c, f := s.authenticate(w, r)
	if f != nil {
		s.writeFailure(w, "", f.withUnknownRan())
		return target{}, false
	}
	id, err := submission.Parse(text)
	if err != nil {
		s.writeFailure(w, "", stateFailure(submission.Unknown))
		return target{}, false
	}
	return target{contract: c, id: id, text: text}, true
}

// put serves PUT /v1/submissions/{id}.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	arrived := s.now()
	t, ok := s.target(w, r)
	if !ok {
		return
	}
	b, f := s.readBody(w, r)
	if f != nil {
		s.writeFailure(w, t.text, s.bodyFailure(t, f))
		return
	}
	defer b.release()
	a, err := s.putAnswer(r.Context(), t, b, job{
		id: t.id, text: t.text, client: t.contract.Client, body: b, arrived: arrived,
	})
	if err != nil {
		return // the caller disconnected
	}
	s.setNextID(w, t.contract.Client, t.id)
	s.write(w, a)
}

func (s *Server) putAnswer(ctx context.Context, t target, b *body, j job) (submission.Response, error) {
	if s.opts.Table.Owns(t.id) {
		return s.submit(ctx, j)
	}
	return s.forward(ctx, t, wirev1.ForwardMethod_FORWARD_METHOD_SUBMIT, b.bytes)
}

// bodyFailure returns the failure for a request whose body was rejected. It says
// that the job did not run only if this entry owns the id and nothing was
// submitted under it; otherwise ran is unknown.
func (s *Server) bodyFailure(t target, f *failure) *failure {
	if s.opts.Table.Find(s.now(), t.id, t.contract.Client).State == submission.Unused {
		return f
	}
	return f.withUnknownRan()
}

// fetch serves GET /v1/submissions/{id}.
func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	t, ok := s.target(w, r)
	if !ok {
		return
	}
	if s.opts.Table.Owns(t.id) {
		s.write(w, s.lookUp(t.id, t.text, t.contract.Client))
		return
	}
	s.relay(w, r, t, wirev1.ForwardMethod_FORWARD_METHOD_FETCH)
}

// remove serves DELETE /v1/submissions/{id}.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	t, ok := s.target(w, r)
	if !ok {
		return
	}
	if !s.opts.Table.Owns(t.id) {
		s.relay(w, r, t, wirev1.ForwardMethod_FORWARD_METHOD_CANCEL)
		return
	}
	a, err := s.cancel(r.Context(), t.id, t.text, t.contract.Client)
	if err != nil {
		return // the caller disconnected
	}
	s.write(w, a)
}

func (s *Server) relay(w http.ResponseWriter, r *http.Request, t target, method wirev1.ForwardMethod) {
	a, err := s.forward(r.Context(), t, method, nil)
	if err != nil {
		return // the caller disconnected
	}
	s.write(w, a)
}

func (s *Server) methodNotAllowed(allow string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allow)
		f := notStarted(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "%s is not allowed here; use one of %s", r.Method, allow)
		if r.PathValue("id") != "" {
			f = f.withUnknownRan()
		}
		s.writeFailure(w, "", f)
	}
}

func (s *Server) unknownPath(w http.ResponseWriter, _ *http.Request) {
	s.writeFailure(w, "", notStarted(http.StatusNotFound, CodeNotFound, "no such path"))
}
