// Package route maps requests to contracts. The operator's configuration is decoded into
// an immutable Table; readers load the latest one through an atomic pointer.
package route

import (
	"sort"
	"strings"
	"time"
)

// Contract holds the terms for one client account's callers, and the service that runs
// the client account's tasks.
type Contract struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the contract's priority; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of failed runs of a task; at least 1.
	MaxAttempts int
	// TargetFactor and TargetMargin give the target latency of a job: TargetFactor times the run
	// time of its critical path, plus TargetMargin.
	TargetFactor float64
	TargetMargin time.Duration
	// Timeout is the timeout of a request; zero if the contract sets none.
	Timeout time.Duration
}

// Limits are the limits of the ingress HTTP server.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operator's configuration.
type Table struct {
	// Version increases with each change by the operator.
	Version int64
	Limits  Limits
	byHost  map[string][]*Contract
	// byName holds nil for a name that several contracts have.
	byName map[string]*Contract
	count  int
}

// NewTable returns a table of the contracts.
func NewTable(version int64, limits Limits, contracts []*Contract) *Table {
	t := &Table{Version: version, Limits: limits, byHost: map[string][]*Contract{}, byName: map[string]*Contract{}, count: len(contracts)}
	for _, c := range contracts {
		if _, taken := t.byName[c.Name]; taken {
			t.byName[c.Name] = nil
		} else {
			t.byName[c.Name] = c
		}
		host := strings.ToLower(c.Host)
		t.byHost[host] = append(t.byHost[host], c)
	}
	for _, matches := range t.byHost {
		// The longest prefix comes first, so that the first match is the longest.
		sort.SliceStable(matches, func(i, j int) bool { return len(matches[i].Prefix) > len(matches[j].Prefix) })
	}
	return t
}

// Find returns the contract with the longest prefix that matches the path, or nil. The
// host may include a port.
func (t *Table) Find(host, path string) *Contract {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, c := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, c.Prefix) {
			return c
		}
	}
	return nil
}

// ByName returns the contract with the given name, or nil if none or several have it: the platform
// doesn't require that names differ.
func (t *Table) ByName(name string) *Contract { return t.byName[name] }

// Len returns the number of contracts.
func (t *Table) Len() int { return t.count }
