// Package route finds the contract that holds for a request. The operator's
// configuration is decoded once into a Table, which is never changed: readers
// take the newest one by an atomic pointer.
package route

import (
	"sort"
	"strings"
	"time"
)

// Contract is what the operator promises one customer's callers, and the
// service that runs the customer's tasks.
type Contract struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Urgency orders contracts; 0 comes first.
	Urgency int
	// MaxAttempts bounds the failed runs of a task; at least 1.
	MaxAttempts int
	// Stretch times the longest chain of work and Allowance more is the time
	// in which an answer is wanted.
	Stretch   float64
	Allowance time.Duration
	// Timeout bounds a request; zero when the contract names none.
	Timeout time.Duration
}

// Limits bound what the ingress reads.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operator's configuration.
type Table struct {
	// Version rises with each change that the operator makes.
	Version int64
	Limits  Limits
	byHost  map[string][]*Contract
	count   int
}

// NewTable returns a table of the contracts.
func NewTable(version int64, limits Limits, contracts []*Contract) *Table {
	t := &Table{Version: version, Limits: limits, byHost: map[string][]*Contract{}, count: len(contracts)}
	for _, c := range contracts {
		host := strings.ToLower(c.Host)
		t.byHost[host] = append(t.byHost[host], c)
	}
	for _, of := range t.byHost {
		// The longest prefix first, so that the first match is the one to use.
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	return t
}

// Find returns the contract of the longest prefix with which the path begins,
// or nil. The host may carry a port.
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

// Len returns the number of contracts.
func (t *Table) Len() int { return t.count }
