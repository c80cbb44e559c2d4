package load

import (
	"context"
	"sync"
)

// pooled is a flow that several requests share. It is opened on first use.
type pooled struct {
	mu   sync.Mutex
	flow Flow
}

type flowPool struct {
	dial    func(context.Context, string) (Flow, error)
	service string
	flows   []*pooled
}

func (p *flowPool) get(i int) (Flow, error) {
	entry := p.flows[i]
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.flow != nil {
		return entry.flow, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	flow, err := p.dial(ctx, p.service)
	entry.flow = flow
	return flow, err
}

func (p *flowPool) close() {
	for _, entry := range p.flows {
		entry.mu.Lock()
		if entry.flow != nil {
			_ = entry.flow.Close()
			entry.flow = nil
		}
		entry.mu.Unlock()
	}
}
