package burn

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrSnapshotFormat means that a snapshot has a different format and cannot be merged.
var ErrSnapshotFormat = errors.New("burn: snapshot has a different format; the entries may run different versions")

// Target is the service-level target in a client's contract.
type Target struct {
	Client     string
	Objective  float64
	AnswerTime time.Duration
	// Revision is the revision of the contract. Merge uses the newest target of a
	// client.
	Revision int64
}

// Snapshot holds the counts of one entry, or the merged counts of several.
type Snapshot struct {
	// Entries lists the ids of the entries that are included.
	Entries []string `json:"entries"`
	// At is the time of the latest of the merged snapshots.
	At      time.Time      `json:"at"`
	Clients []ClientCounts `json:"customers"`
}

// ClientCounts holds the counts of one client.
type ClientCounts struct {
	Name      string  `json:"name"`
	Objective float64 `json:"objective"`
	// AnswerTimeMs is the contract's answer time in milliseconds.
	AnswerTimeMs int64 `json:"answer_time_ms"`
	Revision     int64 `json:"revision"`
	// Windows holds the counts of the short and the long window of each of WindowPairs,
	// in order.
	Windows []Counts  `json:"windows"`
	Latency Histogram `json:"latency"`
	// Series holds the counts of BudgetWindow in steps of five minutes, the latest
	// first. It ends at the oldest step with a count.
	Series []Counts `json:"series,omitempty"`
}

// Snapshot returns the counts of the windows that end at now. It includes clients
// with a target even if they had no jobs. withSeries adds the series for the plots.
func (r *Recorder) Snapshot(now time.Time, entry string, targets []Target, withSeries bool) Snapshot {
	recorded := *r.clients.Load()
	byName := map[string]Target{}
	for name := range recorded {
		byName[name] = Target{Client: name}
	}
	for _, t := range targets {
		byName[t.Client] = t
	}
	out := Snapshot{Entries: []string{entry}, At: now.UTC(), Clients: make([]ClientCounts, 0, len(byName))}
	epoch := r.epoch(now)
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out.Clients = append(out.Clients, newClientCounts(byName[name], recorded[name], epoch, withSeries))
	}
	return out
}

func newClientCounts(t Target, s *series, epoch int64, withSeries bool) ClientCounts {
	c := ClientCounts{
		Name:         t.Client,
		Objective:    t.Objective,
		AnswerTimeMs: t.AnswerTime.Milliseconds(),
		Revision:     t.Revision,
		Windows:      make([]Counts, 2*len(WindowPairs)),
	}
	if s == nil {
		return c
	}
	for i, p := range WindowPairs {
		c.Windows[2*i] = s.sumWindow(epoch, p.Short)
		c.Windows[2*i+1] = s.sumWindow(epoch, p.Long)
	}
	c.Latency = s.latency(epoch)
	if withSeries {
		c.Series = s.seriesPoints(epoch)
	}
	return c
}

// sumWindow returns the counts of a window that ends with the bucket being filled.
func (s *series) sumWindow(epoch int64, length time.Duration) Counts {
	return s.sumEpochs(epoch-int64(length/bucketWidth)+1, epoch)
}

func (s *series) seriesPoints(epoch int64) []Counts {
	const step = int64(pointWidth / bucketWidth)
	out := make([]Counts, 0, pointCount)
	for i := range int64(pointCount) {
		last := epoch - i*step
		out = append(out, s.sumEpochs(last-step+1, last))
	}
	for len(out) > 0 && out[len(out)-1] == (Counts{}) {
		out = out[:len(out)-1]
	}
	return out
}

// Merge adds up the snapshots of several entries. Steps of the series are matched by
// their age, so the entries' clocks need not agree.
func Merge(snapshots ...Snapshot) (Snapshot, error) {
	merged := Snapshot{}
	byName := map[string]*ClientCounts{}
	for _, s := range snapshots {
		merged.Entries = append(merged.Entries, s.Entries...)
		if s.At.After(merged.At) {
			merged.At = s.At
		}
		for _, c := range s.Clients {
			if len(c.Windows) != 2*len(WindowPairs) || len(c.Series) > pointCount {
				return Snapshot{}, ErrSnapshotFormat
			}
			mergeClientCounts(byName, c)
		}
	}
	slices.Sort(merged.Entries)
	merged.Clients = make([]ClientCounts, 0, len(byName))
	for _, c := range byName {
		merged.Clients = append(merged.Clients, *c)
	}
	slices.SortFunc(merged.Clients, func(a, b ClientCounts) int { return strings.Compare(a.Name, b.Name) })
	return merged, nil
}

func mergeClientCounts(byName map[string]*ClientCounts, c ClientCounts) {
	sum, found := byName[c.Name]
	if !found {
		c.Windows = slices.Clone(c.Windows)
		c.Series = slices.Clone(c.Series)
		byName[c.Name] = &c
		return
	}
	if c.Revision > sum.Revision {
		sum.Objective, sum.AnswerTimeMs, sum.Revision = c.Objective, c.AnswerTimeMs, c.Revision
	}
	for i := range sum.Windows {
		sum.Windows[i].Add(c.Windows[i])
	}
	sum.Latency.Add(c.Latency)
	for i, point := range c.Series {
		if i == len(sum.Series) {
			sum.Series = append(sum.Series, Counts{})
		}
		sum.Series[i].Add(point)
	}
}
