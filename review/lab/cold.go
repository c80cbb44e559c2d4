package main

import "time"

// Bounds of the small deployments for cold hosts.
const (
	warmupFactor = 1.5
	coldSlack    = 5
)

// arrival is a new flow at a cold host: when the client sent its opening packet, and when that arrived.
type arrival struct {
	sent, arrived time.Time
}

// countArrival counts a new flow at a cold host, against the number that all machines together may send it in a second.
// Only flows count whose opening packet was sent and arrived inside that second.
func (h *host) countArrival(key flowKey) {
	now := time.Now()
	if h.warmupPerS == 0 || now.Sub(h.born) >= h.warmup {
		return
	}
	h.rec.count("flows at cold hosts")
	h.arrivals = append(h.arrivals, arrival{sent: h.lastSent(key).at, arrived: now})
	for now.Sub(h.arrivals[0].arrived) >= time.Second {
		h.arrivals = h.arrivals[1:]
	}
	within := 0
	for _, a := range h.arrivals {
		if now.Sub(a.sent) < time.Second {
			within++
		}
	}
	limit := h.warmupPerS*warmupFactor + coldSlack
	if float64(within) <= limit {
		return
	}
	h.rec.breach("FAILBACK", "cold host %s got %d new flows within a second, %.0f allowed (flow %s)", h.id, within, limit, key)
	if h.fallsOver {
		h.rec.add("host %s falls over with %d flows", h.id, len(h.flows))
		go h.stop()
	}
}
