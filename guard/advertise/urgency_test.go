package advertise

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"almondstand.dev/dispatch/work"
)

func waiting(priority int, slack time.Duration) *session {
	return &session{pending: true, demand: 1000, sent: now.Add(-time.Millisecond), urgent: &work.Demand{Priority: priority, Slack: slack, WaitingMilli: 1}}
}

// TestUrgentDemandIsOfferedCapacityFirst guards against long, least urgent work that takes the cores
// because its entry has more of it or was sent capacity earlier.
func TestUrgentDemandIsOfferedCapacityFirst(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct{ first, second *session }{
		"priority":                               {waiting(0, 300*ms), waiting(2, 10*ms)},
		"slack":                                  {waiting(1, 10*ms), waiting(1, 30*ms)},
		"late demand comes after that in time":   {waiting(1, 300*ms), waiting(1, 0)},
		"a late urgent job before a less urgent": {waiting(0, 0), waiting(1, 10*ms)},
	} {
		t.Run(name, func(t *testing.T) {
			c.second.demand, c.second.sent = 90_000, now.Add(-10*ms)
			Schedule(now, capacityUsed(29_000), true, []*session{c.second, c.first}, &Offers{})
			assert.Equal(t, c.first.at, now)
			assert.Equal(t, c.second.at, now.Add(turnInterval))
		})
	}
}

// An older entry does not report its demand by contract: it ranks among the least urgent, by the time
// and the amount.
func TestOlderEntryRanksAmongTheLeastUrgent(t *testing.T) {
	urgent, least, older := waiting(0, time.Second), waiting(2, time.Second), &session{pending: true, demand: 2000, sent: now.Add(-time.Millisecond)}
	Schedule(now, capacityUsed(29_000), true, []*session{least, older, urgent}, &Offers{})
	assert.Equal(t, urgent.at, now)
	assert.Equal(t, older.at, now.Add(turnInterval))
	assert.Equal(t, least.at, now.Add(2*turnInterval))
}

// TestNoEntryStarves guards against an entry with lasting urgent demand that gets every offer: one of
// four goes to the entry that was sent capacity the longest time ago.
func TestNoEntryStarves(t *testing.T) {
	urgent, other := waiting(0, time.Second), waiting(2, time.Second)
	other.sent = now.Add(-time.Second)
	offers, firsts := &Offers{}, 0
	for range 2 * offersByAge {
		Schedule(now, capacityUsed(29_000), true, []*session{urgent, other}, offers)
		if other.at.Equal(now) {
			firsts++
		}
	}
	assert.Equal(t, firsts, 2)
}

// TestOrderOfEqualDemandIsUnchanged: with one priority, and slack that differs by less than 20 ms or
// is not known of every entry, the order is by time and amount, as without the demand by contract.
func TestOrderOfEqualDemandIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var plain, urgent []*session
		older := rapid.Bool().Draw(t, "older entries")
		for range rapid.IntRange(1, 6).Draw(t, "sessions") {
			s := session{pending: true, demand: rapid.Int64Range(0, 9000).Draw(t, "demand"), sent: now.Add(-time.Duration(rapid.IntRange(0, 99).Draw(t, "ms")) * time.Millisecond)}
			u := s
			if !older || rapid.Bool().Draw(t, "known") {
				limit := 19
				if older {
					limit = 500
				}
				u.urgent = &work.Demand{Priority: 1, Slack: time.Duration(1+rapid.IntRange(0, limit).Draw(t, "slack")) * time.Millisecond}
			}
			plain, urgent = append(plain, &s), append(urgent, &u)
		}
		if older {
			urgent[0].urgent = nil
		}
		offers := &Offers{}
		for range offersByAge + 1 {
			Schedule(now, capacityUsed(0), true, plain, &Offers{})
			Schedule(now, capacityUsed(0), true, urgent, offers)
			for i := range plain {
				assert.Equal(t, urgent[i].at, plain[i].at)
			}
		}
	})
}
