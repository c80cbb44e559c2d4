package load

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Minute / time.Microsecond)
	digits        = 3
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	View  Kind = "view"  // refresh of a flow that stays open
	Photo Kind = "photo" // long download
	Paste Kind = "paste" // request that may not be repeated
	Page  Kind = "page"  // short request that may be repeated
)

// Phase is a part of a run that is measured on its own.
type Phase string

// Phases of a run.
const (
	Opening Phase = "opening" // flows are being opened
	Before  Phase = "before"
	During  Phase = "during"
	After   Phase = "after"
)

// Summary counts the requests of one phase.
type Summary struct {
	Outcomes map[Outcome]int
	Reasons  map[string]int // why requests were not answered
	Late     int            // answers after the time that the workload calls in time
	latency  *hdrhistogram.Histogram
}

func newSummary() *Summary {
	return &Summary{
		Outcomes: make(map[Outcome]int), Reasons: make(map[string]int),
		latency: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// Total returns the number of requests.
func (s *Summary) Total() int {
	total := 0
	for _, n := range s.Outcomes {
		total += n
	}
	return total
}

// InTime returns the share of requests, without those given up, that were answered in time.
func (s *Summary) InTime() float64 {
	counted := s.Total() - s.Outcomes[GivenUp] - s.Outcomes[Canceled]
	if counted == 0 {
		return 1
	}
	return float64(s.Outcomes[Answered]-s.Late) / float64(counted)
}

// Quantile returns a latency of the answered requests; q is a percentage.
func (s *Summary) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Sample is one finished request, for plots.
type Sample struct {
	At      time.Duration // since the start of the recorder
	Took    time.Duration
	Outcome Outcome
}

// Issued is what became of a request that the verification checks against the targets.
type Issued struct {
	Kind    Kind
	Service string
	Outcome Outcome
	Reason  string
	Target  string
	Began   time.Duration // since the start of the recorder
	Took    time.Duration
}

// Recorder collects the results of all callers.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	phase   Phase
	phases  map[Phase]*Summary
	samples []Sample
	issued  map[string]Issued
}

// NewRecorder returns a recorder in phase Opening.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), phase: Opening, phases: make(map[Phase]*Summary), issued: make(map[string]Issued)}
}

// Enter begins a phase. Requests belong to the phase in which they began.
func (r *Recorder) Enter(p Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
}

// Phase returns the current phase.
func (r *Recorder) Phase() Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

// Summary returns the counts of a phase.
func (r *Recorder) Summary(p Phase) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary(p)
}

func (r *Recorder) summary(p Phase) *Summary {
	s, ok := r.phases[p]
	if !ok {
		s = newSummary()
		r.phases[p] = s
	}
	return s
}

// All returns the counts of the whole run.
func (r *Recorder) All() *Summary { return r.merge("") }

// Established returns the counts of the whole run without the opening of flows.
func (r *Recorder) Established() *Summary { return r.merge(Opening) }

func (r *Recorder) merge(without Phase) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := newSummary()
	for phase, s := range r.phases {
		if phase == without {
			continue
		}
		for outcome, n := range s.Outcomes {
			all.Outcomes[outcome] += n
		}
		for reason, n := range s.Reasons {
			all.Reasons[reason] += n
		}
		all.Late += s.Late
		all.latency.Merge(s.latency)
	}
	return all
}

// begin marks a request as issued, so that one that never ends shows too.
func (r *Recorder) begin(id string, kind Kind, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issued[id] = Issued{Kind: kind, Service: service, Outcome: Unknown, Reason: "has not ended", Began: time.Since(r.start)}
}

// end records the result of a request. Only pages and views have a time limit besides their deadline; downloads and
// pastes are counted, but their latency is not mixed into the histogram.
func (r *Recorder) end(id string, phase Phase, kind Kind, result Result, took, inTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	issued := r.issued[id]
	issued.Outcome, issued.Reason, issued.Target, issued.Took = result.Outcome, result.Reason, result.Target, took
	r.issued[id] = issued
	s := r.summary(phase)
	s.Outcomes[result.Outcome]++
	if result.Outcome != Answered {
		s.Reasons[fmt.Sprintf("%s %s: %s", kind, result.Outcome, result.Reason)]++
	}
	if kind == Photo {
		return
	}
	r.samples = append(r.samples, Sample{At: issued.Began, Took: took, Outcome: result.Outcome})
	if result.Outcome != Answered {
		return
	}
	_ = s.latency.RecordValue(max(took.Microseconds(), lowestMicros))
	if inTime > 0 && took > inTime {
		s.Late++
	}
}

// Issued returns a copy of what became of each request.
func (r *Recorder) Issued() map[string]Issued {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.issued)
}

// Samples returns the finished requests in the order they ended.
func (r *Recorder) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Sample(nil), r.samples...)
}

// Start returns when the recorder began.
func (r *Recorder) Start() time.Time { return r.start }
