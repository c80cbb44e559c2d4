package targetgate

import "time"

// outcomes counts how requests ended.
type outcomes struct {
	asked, inTime, late, refused, failed int
	slowRefusals                         int           // refused after more than 20 ms
	firstAttempts                        int           // answered at their first attempt
	slowestRefusal                       time.Duration // longest time after which a refused request's caller knew
	work                                 time.Duration // of the requests that were answered in time
	retries                              int           // attempts that a target got after the first of their request
}

func count(requests []*simRequest, match func(*simRequest) bool) outcomes {
	var o outcomes
	for _, q := range requests {
		if !match(q) {
			continue
		}
		o.asked++
		switch {
		case q.answered != 0 && q.answered-q.sent <= q.kind.objective:
			o.inTime++
			o.work += q.kind.work
		case q.answered != 0:
			o.late++
		case q.ended != 0 && q.ended-q.sent < q.kind.deadline:
			o.refused++
			o.slowestRefusal = max(o.slowestRefusal, q.ended-q.sent)
			if q.ended-q.sent > 20*ms {
				o.slowRefusals++
			}
		default:
			o.failed++
		}
		o.retries += q.retries
		if q.answered != 0 && q.attempts == 1 {
			o.firstAttempts++
		}
	}
	return o
}
