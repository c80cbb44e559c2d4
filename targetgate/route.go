package targetgate

import "time"

const (
	// maxRoutes bounds the routes that a gate stores. It discards all of them when it would exceed the bound; the
	// next new flows add theirs again.
	maxRoutes = 256
	// budgetTolerance is the difference up to which two budgets count as equal.
	budgetTolerance = 25 * time.Millisecond
	// maxVotes bounds the votes for the typical budget, and so the number of requests that it takes to replace it
	// by another.
	maxVotes = 64
	// confidentVotes is the number of votes from which a single longer budget is attributed to an unusual caller
	// and does not replace the typical budget.
	confidentVotes = 16
)

// route is the state of the requests to one address of a service.
type route struct {
	class    class
	budget   typicalBudget
	overload overload
}

// typicalBudget estimates the time that callers allow for a request when they first send it. A retry has less of
// it left, and the difference is the age of the request. The estimate is the value that most requests agree on,
// found by majority vote: the remaining times of retries differ from each other. Until it has confidentVotes, a
// longer time replaces it at once, since no retry has more time left than its caller allowed at first.
type typicalBudget struct {
	value time.Duration
	votes int
}

// observe adds the vote of a request with the time that its caller has left.
func (b *typicalBudget) observe(left time.Duration) {
	difference := left - b.value
	switch {
	case difference >= -budgetTolerance && difference <= budgetTolerance:
		b.votes = min(b.votes+1, maxVotes)
	case b.votes == 0 || (difference > 0 && b.votes < confidentVotes):
		b.value, b.votes = left, 1
	default:
		b.votes--
	}
}

// age returns the time since a caller that has this much time left first sent its request.
func (b *typicalBudget) age(left time.Duration) time.Duration { return max(0, b.value-left) }
