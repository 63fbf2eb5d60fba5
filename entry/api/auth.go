package api

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"almondstand.dev/contract"
)

// maxToken is the longest bearer token, in bytes.
const maxToken = 512

// authenticate finds the contract of the caller's bearer token.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (contract.Contract, *failure) {
	token, ok := bearer(r.Header.Get("Authorization"))
	if ok {
		c, known := s.opts.Contracts.ByToken(sha256.Sum256([]byte(token)))
		if known {
			return c, nil
		}
		// An entry that starts during an outage, or is cut off, may lack the
		// caller's contract. A 401 would tell a customer in good standing that its
		// token is wrong for good; it comes back instead, here or elsewhere.
		if f := s.checkGate(r.Context()); f != nil {
			return contract.Contract{}, f
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	return contract.Contract{}, notRun(http.StatusUnauthorized, CodeUnauthenticated, "send the bearer token of a contract")
}

func bearer(header string) (string, bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return token, token != "" && len(token) <= maxToken
}

// checkActive refuses new work under a retired contract.
func checkActive(c contract.Contract) *failure {
	if c.State != contract.Active {
		return notRun(http.StatusForbidden, CodeRetired, "the contract is retired")
	}
	return nil
}
