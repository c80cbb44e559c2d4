package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cowslipward/cowslipward/test/standin/target"
)

// request makes one request on a flow and records it. It is not canceled when the load stops.
func (r *Run) request(flow Flow, mix Mix, kind Kind, random *rand.Rand) Result {
	id := fmt.Sprintf("%s-%d", r.name, r.next.Add(1))
	request, size := build(mix, kind, id, random)
	phase := r.Recorder.Phase()
	r.Recorder.begin(id, kind, mix.Service)
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline)
	defer cancel()
	start := time.Now()
	result := flow.Do(ctx, request)
	took := time.Since(start)
	if result.Outcome == Answered && !bytes.Equal(result.Body, target.Answer(id, request.Body, size)) {
		result = Result{Outcome: Mixed, Reason: fmt.Sprintf("%d bytes that are not the answer", len(result.Body)), Target: result.Target}
	}
	r.Recorder.end(id, phase, kind, result, took, mix.InTime)
	return result
}

// build makes the request and returns the size of its answer.
func build(mix Mix, kind Kind, id string, random *rand.Rand) (Request, int) {
	work := min(random.ExpFloat64(), longestWork) * float64(mix.Work)
	path := fmt.Sprintf("/%s/%s/%s?work=%s", mix.Service, kind, id, time.Duration(work).Round(10*time.Microsecond))
	request := Request{ID: id, Method: http.MethodGet, Path: path, Deadline: mix.Deadline}
	size := shortAnswer
	switch kind {
	case Paste:
		request.Method = http.MethodPost
		request.Body = []byte("paste record " + id)
	case Photo:
		size = mix.Bytes
		request.Path += fmt.Sprintf("&over=%s", mix.Over)
		request.Deadline = downloadTime
	}
	request.Path += fmt.Sprintf("&bytes=%d", size)
	return request, size
}

// arrivals issues requests of one kind at a mean rate with exponential gaps, whether or not earlier ones have ended.
func (r *Run) arrivals(ctx context.Context, pool *flowPool, mix Mix, kind Kind, rate float64, random *rand.Rand) {
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		r.wg.Go(func() { r.arrival(pool, mix, kind, own) })
	}
}

func (r *Run) arrival(pool *flowPool, mix Mix, kind Kind, random *rand.Rand) {
	flow, err := pool.get(random.IntN(len(pool.flows)))
	if err != nil {
		r.mu.Lock()
		r.unable = append(r.unable, err.Error())
		r.mu.Unlock()
		return
	}
	r.request(flow, mix, kind, random)
}
