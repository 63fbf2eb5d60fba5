package capacity

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// TargetHosts is the number of hosts that users expect in two years.
const TargetHosts = 3300

// minExponent and maxExponent limit the exponent of the extrapolation. Because of the
// minimum, a quantity that fell as hosts were added is not extrapolated to fall
// further.
const (
	minExponent = 0
	maxExponent = 2
)

// ErrPage means that a table of the page can't be generated.
var ErrPage = errors.New("capacity: page")

// tableBlock matches a table on the page, with the id of its sweep and either a role or
// "served".
var tableBlock = regexp.MustCompile(`(?s)<!-- sweep (\S+) (\S+) -->\n.*?<!-- end of table -->`)

// Update returns the page with every table regenerated from the journal.
func Update(page, journal string) (string, error) {
	var failed error
	text := tableBlock.ReplaceAllStringFunc(page, func(old string) string {
		m := tableBlock.FindStringSubmatch(old)
		table, err := generateTable(journal, m[1], m[2])
		if err != nil {
			failed = err
			return old
		}
		return fmt.Sprintf("<!-- sweep %s %s -->\n%s<!-- end of table -->", m[1], m[2], table)
	})
	return text, failed
}

func generateTable(journal, id, part string) (string, error) {
	s, err := Read(journal, id)
	if err != nil {
		return "", err
	}
	if part == "served" {
		return s.served(), nil
	}
	return s.role(part)
}

// served returns the table of the service that callers got, by number of hosts.
func (s Sweep) served() string {
	var b strings.Builder
	b.WriteString("| hosts | served | of the smallest | rules broken |\n|---|---|---|---|\n")
	for i, n := range s.Hosts {
		fmt.Fprintf(&b, "| %d | %.3f | %.3f | %d |\n", n, s.Served[i], s.Served[i]/s.Served[0], s.RulesBroken[i])
	}
	return b.String()
}

// role returns the table of the quantities of one role.
func (s Sweep) role(name string) (string, error) {
	var b strings.Builder
	b.WriteString("| quantity, busiest host |")
	for _, n := range s.Hosts {
		fmt.Fprintf(&b, " %d hosts |", n)
	}
	fmt.Fprintf(&b, " power | carried on to %d |\n|---|%s---|---|\n", TargetHosts, strings.Repeat("---|", len(s.Hosts)))
	rows := 0
	for _, r := range s.Rows {
		if r.Role != name {
			continue
		}
		rows++
		fmt.Fprintf(&b, "| %s |", r.Quantity)
		for _, v := range r.Busiest {
			fmt.Fprintf(&b, " %s |", number(v))
		}
		fmt.Fprintf(&b, " %.2f | %s |\n", r.Exponent, number(s.extrapolate(r)))
	}
	if rows == 0 {
		return "", fmt.Errorf("%w: sweep %s knows no role %q", ErrPage, s.ID, name)
	}
	return b.String(), nil
}

// extrapolate returns a row's value at TargetHosts, extrapolated from the largest measured
// size by the row's power law.
func (s Sweep) extrapolate(r Row) float64 {
	last := len(s.Hosts) - 1
	power := min(max(r.Exponent, minExponent), maxExponent)
	return r.Busiest[last] * math.Pow(float64(TargetHosts)/float64(s.Hosts[last]), power)
}

// number formats a value with three significant digits.
func number(v float64) string {
	if v >= 100 {
		return strconv.FormatFloat(math.Round(v), 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
