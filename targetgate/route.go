package targetgate

import "time"

const (
	// maxRoutes bounds the routes that are remembered. The gate forgets all of them beyond that; the next new flows bring
	// them again.
	maxRoutes = 256
	// sameBudget is how much two times may differ that count as the same.
	sameBudget = 25 * time.Millisecond
	// maxVotes bounds the requests that another usual time needs to take the place of the present one.
	maxVotes = 64
	// sureVotes is from how many agreeing requests on a single longer time is taken for that of an unusual caller.
	sureVotes = 16
)

// route is what the gate knows of the requests that come by one address of a service.
type route struct {
	class class
	usual usualBudget
}

// usualBudget finds out how much time callers give a request that they just made. A caller that asks again has less left
// than that, and the difference is the age of its request. It keeps the value that most requests agree on: those that
// ask again differ from each other. Until many have agreed, a longer time counts at once, since no caller that asks again
// has more time than it had.
type usualBudget struct {
	value time.Duration
	votes int
}

// note takes over the time that a caller has left.
func (u *usualBudget) note(left time.Duration) {
	difference := left - u.value
	switch {
	case difference >= -sameBudget && difference <= sameBudget:
		u.votes = min(u.votes+1, maxVotes)
	case u.votes == 0 || (difference > 0 && u.votes < sureVotes):
		u.value, u.votes = left, 1
	default:
		u.votes--
	}
}

// age returns how long ago a caller first asked that has so much time left.
func (u *usualBudget) age(left time.Duration) time.Duration { return max(0, u.value-left) }
