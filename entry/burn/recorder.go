package burn

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// maxClients limits the memory used, at about 24 KB per client.
const maxClients = 10_000

// Recorder counts how the jobs of an entry end, by client. Record takes a lock only
// for the first job of a client and for the first one in a bucket.
type Recorder struct {
	start time.Time

	mu      sync.Mutex // serialises changes of clients
	clients atomic.Pointer[map[string]*series]
}

// NewRecorder returns an empty recorder. Times passed to its methods are measured
// from now, by the monotonic clock if they have a monotonic reading.
func NewRecorder(now time.Time) *Recorder {
	r := &Recorder{start: now}
	r.clients.Store(&map[string]*series{})
	return r
}

// Record counts one job that ended. Jobs of clients beyond maxClients are not
// counted.
func (r *Recorder) Record(now time.Time, o Observation) {
	if o.Outcome < 0 || o.Outcome >= kindCount {
		return
	}
	s := r.series(o.Client)
	if s == nil {
		return
	}
	s.record(r.epoch(now), o)
}

func (r *Recorder) epoch(now time.Time) int64 {
	return int64(now.Sub(r.start) / bucketWidth)
}

func (r *Recorder) series(client string) *series {
	if s, known := (*r.clients.Load())[client]; known {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.clients.Load()
	if s, known := old[client]; known {
		return s
	}
	if len(old) >= maxClients {
		return nil
	}
	next := maps.Clone(old)
	s := newSeries()
	next[client] = s
	r.clients.Store(&next)
	return s
}

// series holds the counts of one client in a ring of buckets.
type series struct {
	mu      sync.Mutex // serialises the change of a bucket's epoch
	buckets [ringSize]bucket
	// latencyHalves holds the latency histograms of the current and the previous
	// half of BudgetWindow, so that old latencies expire without a ring of histograms.
	latencyHalves [2]latencyBucket
}

// bucket holds the counts of one epoch. Epochs are periods of bucketWidth,
// numbered from the start of the recorder.
type bucket struct {
	epoch  atomic.Int64
	counts [kindCount]atomic.Uint32
}

type latencyBucket struct {
	epoch  atomic.Int64
	counts [latencyBucketCount]atomic.Uint32
}

// noEpoch is the epoch of a bucket that has not been used yet.
const noEpoch = -1

func newSeries() *series {
	s := &series{}
	for i := range s.buckets {
		s.buckets[i].epoch.Store(noEpoch)
	}
	for i := range s.latencyHalves {
		s.latencyHalves[i].epoch.Store(noEpoch)
	}
	return s
}

func (s *series) record(epoch int64, o Observation) {
	epoch = max(epoch, 0)
	b := &s.buckets[epoch%int64(ringSize)]
	s.resetIfStale(&b.epoch, epoch, b.counts[:])
	b.counts[o.Outcome].Add(1)
	if o.Outcome > Failed {
		return // a rejection has no latency to record
	}
	half := epoch / epochsPerHalf
	h := &s.latencyHalves[half%2]
	s.resetIfStale(&h.epoch, half, h.counts[:])
	h.counts[bucketOf(o.Latency)].Add(1)
}

// epochsPerHalf is the length of half of BudgetWindow, in epochs.
const epochsPerHalf = int64(ringSize / 2)

// resetIfStale clears a bucket for a new epoch if it holds an older one. A count
// that another goroutine adds at the same time may be lost or be counted in the new
// epoch. That error is negligible among thousands of counts, whereas a lock would
// slow down every request.
func (s *series) resetIfStale(at *atomic.Int64, epoch int64, counts []atomic.Uint32) {
	if at.Load() >= epoch {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Load() >= epoch {
		return
	}
	for i := range counts {
		counts[i].Store(0)
	}
	at.Store(epoch)
}

// sumEpochs returns the sum of the buckets of the epochs from first to last.
func (s *series) sumEpochs(first, last int64) Counts {
	var sum Counts
	for i := range s.buckets {
		b := &s.buckets[i]
		if e := b.epoch.Load(); e < first || e > last || e < 0 {
			continue
		}
		for k := range sum {
			sum[k] += uint64(b.counts[k].Load())
		}
	}
	return sum
}

func (s *series) latency(epoch int64) Histogram {
	var sum Histogram
	half := epoch / epochsPerHalf
	for i := range s.latencyHalves {
		h := &s.latencyHalves[i]
		if e := h.epoch.Load(); e < half-1 || e < 0 {
			continue
		}
		for k := range sum {
			sum[k] += uint64(h.counts[k].Load())
		}
	}
	return sum
}
