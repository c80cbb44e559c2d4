package caller

import (
	"sync"
	"time"
)

// Defaults of the retry budget, which keeps retries from multiplying the traffic when many targets fail.
const (
	// RetryRatio is the ratio of retries to recent requests that is allowed.
	RetryRatio = 0.10
	// MinRetriesPerSecond is the retry rate that is allowed regardless of traffic, for callers with few requests.
	MinRetriesPerSecond = 3.0
	// budgetWindowSeconds is the length of the sliding window of recent requests.
	budgetWindowSeconds = 10
)

// Budget limits retries with a token bucket, which gains ratio tokens per request and minPerSecond tokens per
// second.
type Budget struct {
	ratio        float64
	minPerSecond float64

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	requests [budgetWindowSeconds]int // requests in each second of the window, a ring buffer
	second   int64                    // Unix time of the newest entry of requests
}

// NewBudget returns a budget that allows ratio retries per recent request plus minPerSecond retries per second.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{
		ratio:        ratio,
		minPerSecond: minPerSecond,
		tokens:       minPerSecond,
		refilled:     time.Now(),
		second:       time.Now().Unix(),
	}
}

// RecordRequest counts a request of the application, not its retries.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	b.requests[b.second%budgetWindowSeconds]++
	b.tokens = min(b.tokens+b.ratio, b.capacity())
}

// Take consumes the token of one retry and reports whether there was one.
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

// refill adds the tokens of the time since the last refill and clears the request counts that left the window.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.refilled).Seconds()
	b.refilled = now
	for second := now.Unix(); b.second < second; {
		b.second = max(b.second+1, second-budgetWindowSeconds)
		b.requests[b.second%budgetWindowSeconds] = 0
	}
	b.tokens = min(b.tokens+b.minPerSecond*elapsed, b.capacity())
}

// capacity is the size of the bucket in tokens: one second of minPerSecond, at least 1, plus ratio times the mean
// requests per second in the window.
func (b *Budget) capacity() float64 {
	sum := 0
	for _, n := range b.requests {
		sum += n
	}
	return max(1, b.minPerSecond) + b.ratio*float64(sum)/budgetWindowSeconds
}
