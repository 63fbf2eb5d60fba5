// Package capacity generates the tables of docs/CAPACITY.md from the sweeps in
// journal/, so that the page always matches the runs. It doesn't measure anything
// itself.
package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// ErrSweep means that a journal entry isn't a sweep or can't be read.
var ErrSweep = errors.New("capacity: no sweep")

// Sweep is one journal entry: the same day simulated at several sizes.
type Sweep struct {
	ID   string
	Site string
	// Hosts holds the sizes in ascending order.
	Hosts []int
	// Served is the fraction of the answers owed to callers that they were credited
	// with, by size.
	Served []float64
	// RulesBroken is the number of rules violated, by size.
	RulesBroken []int
	Rows        []Row
}

// Row holds the values of one quantity of one role.
type Row struct {
	Role, Quantity string
	// Busiest is the value at the busiest host, by size.
	Busiest []float64
	// Exponent is the exponent with which the value at the busiest host grows with the
	// number of hosts.
	Exponent float64
}

// entry holds the fields of a journal file that are used.
type entry struct {
	ID     string `json:"id"`
	Verb   string `json:"cmd"`
	Site   string `json:"site"`
	Digest string `json:"digest"`
	Days   []struct {
		Name   string                     `json:"name"`
		Served float64                    `json:"served"`
		Rules  map[string]json.RawMessage `json:"rules"`
	} `json:"days"`
}

// dayPrefix starts the names of the days of a sweep; the number of hosts follows.
const dayPrefix = "sweep-"

// Read reads the sweep with an id from a journal.
func Read(journal, id string) (Sweep, error) {
	files, err := filepath.Glob(filepath.Join(journal, "*-"+id+".json"))
	if err != nil || len(files) != 1 {
		return Sweep{}, fmt.Errorf("%w: %s: %d files in %s", ErrSweep, id, len(files), journal)
	}
	raw, err := os.ReadFile(files[0])
	if err != nil {
		return Sweep{}, fmt.Errorf("%w: %w", ErrSweep, err)
	}
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Sweep{}, fmt.Errorf("%w: %s: %w", ErrSweep, id, err)
	}
	return e.sweep()
}

func (e entry) sweep() (Sweep, error) {
	s := Sweep{ID: e.ID, Site: e.Site}
	if e.Verb != "sweep" {
		return s, fmt.Errorf("%w: %s is of %q", ErrSweep, e.ID, e.Verb)
	}
	for _, d := range e.Days {
		hosts, err := strconv.Atoi(strings.TrimPrefix(d.Name, dayPrefix))
		if err != nil {
			return s, fmt.Errorf("%w: %s: day %q", ErrSweep, e.ID, d.Name)
		}
		s.Hosts = append(s.Hosts, hosts)
		s.Served = append(s.Served, d.Served)
		s.RulesBroken = append(s.RulesBroken, len(d.Rules))
	}
	if !slices.IsSorted(s.Hosts) || len(s.Hosts) == 0 {
		return s, fmt.Errorf("%w: %s: sizes %v", ErrSweep, e.ID, s.Hosts)
	}
	for _, line := range strings.Split(e.Digest, "\n") {
		if row, ok := parseRow(line, len(s.Hosts)); ok {
			s.Rows = append(s.Rows, row)
		}
	}
	if len(s.Rows) == 0 {
		return s, fmt.Errorf("%w: %s: no figures", ErrSweep, e.ID)
	}
	return s, nil
}

// rowLine matches "role: quantity", followed by a pair "median / busiest" for each
// size, the exponent, and the extrapolated value, which is ignored.
var rowLine = regexp.MustCompile(`^([a-z]+): (.+?)  +(.*)$`)

func parseRow(line string, sizes int) (Row, bool) {
	m := rowLine.FindStringSubmatch(line)
	if m == nil {
		return Row{}, false
	}
	fields := strings.Fields(strings.ReplaceAll(m[3], "/", " "))
	if len(fields) < 2*sizes+1 {
		return Row{}, false
	}
	numbers := make([]float64, 2*sizes+1)
	for i := range numbers {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Row{}, false
		}
		numbers[i] = n
	}
	r := Row{Role: m[1], Quantity: m[2], Exponent: numbers[2*sizes]}
	for i := range sizes {
		r.Busiest = append(r.Busiest, numbers[2*i+1])
	}
	return r, true
}
