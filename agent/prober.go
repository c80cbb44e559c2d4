package agent

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/agent/upstream"
)

// Parameters of the probes of a target.
const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// maxFailedProbes is how many connections in a row must fail before the target is considered unreachable.
	maxFailedProbes = 2
	// maxProbeBytes bounds how much of a health or load response is read.
	maxProbeBytes = 4 << 10
)

// prober polls the health and load endpoints of the target. These lag and can be misleading, so a bad response
// only lowers the weight. A failed connection is conclusive: nothing listens at the address.
type prober struct {
	upstream   *upstream.Client
	healthPath string
	loadPath   string
	log        *slog.Logger

	reachable    atomic.Bool  // the last probes were able to connect
	healthy      atomic.Bool  // as reported by the health endpoint
	reported     atomic.Int64 // requests in progress, as reported by the load endpoint
	failedProbes int
}

// run probes the target until the context ends.
func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		p.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *prober) probe(ctx context.Context) {
	status, _, failure := p.get(ctx, p.healthPath)
	if ctx.Err() != nil {
		return
	}
	p.recordReachability(failure == nil || failure.Reason != upstream.ReasonUnreachable)
	if failure != nil {
		return
	}
	healthy := status < http.StatusInternalServerError
	if p.healthy.Swap(healthy) != healthy {
		p.log.Info("target_health", "healthy", healthy, "status", status)
	}
	if p.loadPath != "" {
		p.probeLoad(ctx)
	}
}

// recordReachability updates the reachability of the target after a probe.
func (p *prober) recordReachability(reached bool) {
	if reached {
		p.failedProbes = 0
		if !p.reachable.Swap(true) {
			p.log.Info("target_reachable", "reachable", true)
		}
		return
	}
	p.failedProbes++
	if p.failedProbes >= maxFailedProbes && p.reachable.Swap(false) {
		p.log.Warn("target_reachable", "reachable", false)
	}
}

// probeLoad reads the load that the target reports.
func (p *prober) probeLoad(ctx context.Context) {
	status, body, failure := p.get(ctx, p.loadPath)
	if failure != nil || status != http.StatusOK {
		return
	}
	var load struct {
		InProgress int64 `json:"in_progress"`
	}
	if json.Unmarshal(body, &load) == nil {
		p.reported.Store(load.InProgress)
	}
}

func (p *prober) get(ctx context.Context, path string) (status int, body []byte, failure *upstream.Failure) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &http.Request{Method: http.MethodGet, URL: p.upstream.URL(&url.URL{Path: path}), Header: http.Header{}}
	answer, failure := p.upstream.Do(ctx, &upstream.Request{HTTP: request, Deadline: time.Now().Add(probeTimeout)})
	if failure != nil {
		return 0, nil, failure
	}
	defer answer.Body.Close()
	body, _ = io.ReadAll(io.LimitReader(answer.Body, maxProbeBytes))
	return answer.StatusCode, body, nil
}
