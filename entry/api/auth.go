package api

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"almondstand.dev/contract"
)

// maxToken is the longest bearer token, in bytes.
const maxToken = 512

// authenticate returns the contract that the caller's bearer token belongs to.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (contract.Contract, *failure) {
	token, ok := bearer(r.Header.Get("Authorization"))
	if ok {
		c, known := s.opts.Contracts.ByToken(sha256.Sum256([]byte(token)))
		if known {
			return c, nil
		}
		// An entry that starts during a store outage, or that is isolated, may not
		// have the caller's contract yet. A 401 would report a valid token as
		// permanently wrong; a 503 makes the caller retry at this or another entry.
		if f := s.checkReady(r.Context()); f != nil {
			return contract.Contract{}, f
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	return contract.Contract{}, notStarted(http.StatusUnauthorized, CodeUnauthenticated, "send the bearer token of a contract")
}

func bearer(header string) (string, bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return token, token != "" && len(token) <= maxToken
}

// checkContractActive rejects new jobs under a retired contract.
func checkContractActive(c contract.Contract) *failure {
	if c.State != contract.Active {
		return notStarted(http.StatusForbidden, CodeContractRetired, "the contract is retired")
	}
	return nil
}
