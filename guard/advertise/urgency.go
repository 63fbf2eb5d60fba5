package advertise

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// offersByAge is the number of offers of which one goes to the entry that was sent capacity the
	// longest time ago, whatever its demand: otherwise an entry with urgent demand that lasts would
	// starve the others.
	offersByAge = 4
	// minSlackDifference is the least difference in slack by which entries are ordered: estimated run
	// times are off by about as much.
	minSlackDifference = 20 * time.Millisecond
)

// Offers is the state of the offers of one guard. The zero value is ready for use.
type Offers struct {
	// ranked counts the offers for which the urgency of the demand made a difference.
	ranked int
}

// sortPending sorts the entries with pending tasks by the order in which they are offered capacity:
// by the priority of their most urgent demand, then by its slack, then by sendPriority.
func sortPending[S Session](now time.Time, pending []S, offers *Offers) {
	slices.SortStableFunc(pending, func(a, b S) int { return cmp.Compare(sendPriority(now, b), sendPriority(now, a)) })
	ranks := rank(pending)
	if !differ(ranks) {
		return
	}
	offers.ranked++
	if offers.ranked%offersByAge == 0 {
		slices.SortStableFunc(pending, func(a, b S) int { return a.LastSent().Compare(b.LastSent()) })
		return
	}
	byRank := make([]int, len(pending))
	for i := range byRank {
		byRank[i] = i
	}
	slices.SortStableFunc(byRank, func(a, b int) int { return ranks[a].compare(ranks[b]) })
	sorted := make([]S, len(pending))
	for i, from := range byRank {
		sorted[i] = pending[from]
	}
	copy(pending, sorted)
}

// urgency is the rank of an entry's demand; entries with the same rank are offered capacity by
// sendPriority.
type urgency struct{ priority, slackGroup int }

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(u.slackGroup, o.slackGroup))
}

func differ(ranks []urgency) bool {
	return slices.ContainsFunc(ranks, func(u urgency) bool { return u != ranks[0] })
}

// rank returns the rank of each session. Entries that do not report demand by contract are among the
// least urgent, where slack does not count then.
func rank[S Session](pending []S) []urgency {
	ranks := make([]urgency, len(pending))
	slacks := make([]time.Duration, len(pending))
	leastUrgent, unknown := math.MinInt, false
	for i, s := range pending {
		d, known := s.MostUrgent()
		if !known {
			unknown = true
			ranks[i].priority = math.MaxInt
			continue
		}
		leastUrgent = max(leastUrgent, d.Priority)
		ranks[i].priority = d.Priority
		if slacks[i] = d.Slack; d.Slack <= 0 {
			// Nothing there can start in time any more.
			slacks[i] = math.MaxInt64
		}
	}
	for i := range ranks {
		ranks[i].priority = min(ranks[i].priority, max(leastUrgent, 0))
	}
	order := make([]int, len(pending))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[a].priority, ranks[b].priority), cmp.Compare(slacks[a], slacks[b]))
	})
	for n := 1; n < len(order); n++ {
		i, before := order[n], order[n-1]
		if ranks[i].priority != ranks[before].priority || unknown && ranks[i].priority == leastUrgent {
			continue
		}
		ranks[i].slackGroup = ranks[before].slackGroup
		if slacks[i]-slacks[before] >= minSlackDifference {
			ranks[i].slackGroup++
		}
	}
	return ranks
}
