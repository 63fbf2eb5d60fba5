package api

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of a server.
type metrics struct {
	joined      tally.Counter
	forwarded   tally.Counter
	misdeclared tally.Counter
	// byClass counts answers by the first digit of their status.
	byClass map[int]tally.Counter
}

// classes are the HTTP status classes that this API responds with, by their first
// digit.
var classes = []int{2, 4, 5}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("callers")
	m := &metrics{
		joined:      scope.Counter("repeats"),
		forwarded:   scope.Counter("forwarded"),
		misdeclared: scope.Counter("misdeclared_sizes"),
		byClass:     map[int]tally.Counter{},
	}
	for _, class := range classes {
		tags := map[string]string{"class": strconv.Itoa(class) + "xx"}
		m.byClass[class] = scope.Tagged(tags).Counter("answers")
	}
	return m
}

func (m *metrics) answered(status int) {
	if c := m.byClass[status/100]; c != nil {
		c.Inc(1)
	}
}
