package runs

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// Resume reconciles the runs that an owner considers open with the table after the owner's
// stream broke. It reports on each open run and stops all other runs of the same entry. An open
// run that is not in the table never starts.
func (t *Table) Resume(now time.Duration, owner Owner, open []work.RunID) []Report {
	for _, r := range t.runs {
		if r.owner.Entry != owner.Entry {
			continue
		}
		if r.owner != owner || !slices.Contains(open, r.id) {
			t.stop(now, r)
		}
	}
	t.resetReported(owner)
	var reports []Report
	for _, id := range open {
		r, found := t.runs[id.Task]
		switch {
		case !found || r.owner != owner || r.id != id || r.endReported:
			reports = append(reports, t.finalReport(now, owner, id))
		case r.started:
			reports = append(reports, Report{Owner: owner, Run: id, State: Running, StartedAt: r.startedAt})
		default:
			// Its start is in flight; the report follows.
		}
	}
	return reports
}
