package runs

import (
	"slices"
	"time"

	"almondstand.dev/dispatch/work"
)

// Resume compares the runs that an owner holds open with those here, after its
// stream broke: each is reported on, others of the same entry are stopped. The
// older stream delivers nothing any more, so a run that isn't here never starts.
func (b *Table) Resume(now time.Duration, owner Owner, open []work.RunID) []Report {
	for _, r := range b.runs {
		if r.owner.Entry != owner.Entry {
			continue
		}
		if r.owner != owner || !slices.Contains(open, r.id) {
			b.stop(now, r)
		}
	}
	var reports []Report
	for _, id := range open {
		r, here := b.runs[id.Task]
		switch {
		case here && r.owner == owner && r.id == id && r.started:
			reports = append(reports, Report{Owner: owner, Run: id, State: Running, Began: r.began})
		case here && r.owner == owner && r.id == id:
			// Its start is under way; the report follows.
		default:
			f, kept := b.ended[id]
			if !kept || f.report.Owner != owner {
				f.report = Report{Owner: owner, Run: id, State: NotStarted, Refusal: Unknown}
			}
			reports = append(reports, f.report)
		}
	}
	return reports
}
