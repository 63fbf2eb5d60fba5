package experiment

import (
	"strings"
)

// nearShare returns the share of starts that ran in the data centre of the entry which
// answered the job, counting only jobs whose caller got an answer.
func (r *run) nearShare() float64 {
	dataCentres := r.entryDataCentres()
	near, all := 0, 0
	for i, runner := range r.cluster.Runners {
		dataCentre := r.e.dataCentreOf(i)
		for task, starts := range runner.Runner.Starts().Tasks {
			submission, _, _ := strings.Cut(task, "/")
			from, known := dataCentres[submission]
			if !known {
				continue
			}
			all += starts
			if from == dataCentre {
				near += starts
			}
		}
	}
	return float64(near) / float64(max(all, 1))
}

// entryDataCentres returns, by submission, the data centre of the entry that answered
// it.
func (r *run) entryDataCentres() map[string]int {
	ofEntry := map[string]int{}
	for i, e := range r.cluster.Entries {
		ofEntry[e.ID] = r.e.dataCentreOf(i)
	}
	all := map[string]int{}
	for _, reply := range r.replies {
		if reply.Answer != nil {
			all[reply.Answer.Submission] = ofEntry[reply.Answer.Entry]
		}
	}
	return all
}

// dataCentreOf returns the data centre of the i-th entry or endpoint; both are
// distributed over the data centres in turn.
func (e Experiment) dataCentreOf(i int) int { return i % max(1, e.DataCentres) }
