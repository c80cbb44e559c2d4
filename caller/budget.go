package caller

import (
	"sync"
	"time"
)

// Retry budget, so that retries cannot multiply the traffic when many targets fail.
const (
	// RetryRatio is the share of recent requests that may be retried.
	RetryRatio = 0.10
	// MinRetriesPerSecond is how many retries per second are allowed to a caller with little traffic.
	MinRetriesPerSecond = 3.0
	// budgetCells of a second each are the recent traffic.
	budgetCells = 10
)

// Budget bounds retries by a token bucket: each request adds a share of a token, each second adds the floor.
type Budget struct {
	share float64
	floor float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
	cells  [budgetCells]int // requests per second of the recent traffic
	cell   int64            // second that the newest cell counts
}

// NewBudget returns a budget of a share of the recent traffic plus a floor per second.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor, tokens: floor, filled: time.Now(), cell: time.Now().Unix()}
}

// RecordRequest counts a request of the application.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	b.cells[b.cell%budgetCells]++
	b.tokens = min(b.tokens+b.share, b.most())
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the floor for the time passed and clears the cells that are no longer recent.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	for second := now.Unix(); b.cell < second; {
		b.cell = max(b.cell+1, second-budgetCells)
		b.cells[b.cell%budgetCells] = 0
	}
	b.tokens = min(b.tokens+b.floor*elapsed, b.most())
}

// most is what the bucket holds: the floor of one second and the share of one second of the recent traffic.
func (b *Budget) most() float64 {
	sum := 0
	for _, n := range b.cells {
		sum += n
	}
	return max(1, b.floor) + b.share*float64(sum)/budgetCells
}
