package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/encap"
)

const (
	// medianInterval is the minimum time between two computations of the medians of a service.
	medianInterval = 200 * time.Millisecond
	// fullTrust is how long the duration of a route counts fully. An agent whose target has two routes reports each of
	// them once in two refreshIntervals.
	fullTrust = 5500 * time.Millisecond
	// maxAge is the age of a report from which it does not count any more.
	maxAge = 10 * time.Second
	// minTargets is the number of targets that must have reported a route for their durations to be compared.
	minTargets = 3
	// maxRoutes bounds the routes that are stored per target. Further ones replace the one reported longest ago.
	maxRoutes = 8
	// longestDuration is the longest duration that an agent can report: it does not wait longer for a response.
	longestDuration = 8 * time.Second
)

// Target is what the reports of an agent say about its target.
type Target struct {
	service *serviceSpeeds
	routes  []routeReport
	limit   int           // 0: unknown
	limitAt time.Duration // of the last report with a limit
	speed   float64
	at      time.Duration // of the last report with a duration
	slow    bool          // a change of the speed below slowBelow was reported
}

// routeReport is the last report about one route.
type routeReport struct {
	tag  uint8
	code uint8
	at   time.Duration
}

// trust returns the weight, from 1 to 0, of a report of the age.
func trust(age time.Duration) float64 {
	if age <= fullTrust {
		return 1
	}
	return max(0, 1-float64(age-fullTrust)/float64(maxAge-fullTrust))
}

// Speed returns the speed of the target relative to the median of its service. It returns to 1 while no report with a
// duration arrives.
func (t *Target) Speed(now time.Duration) float64 {
	if t.speed == 1 {
		return 1
	}
	return 1 + (t.speed-1)*trust(now-t.at)
}

// Limit returns the number of requests in progress that the target handles well, at most its slots.
func (t *Target) Limit(slots int, now time.Duration) int {
	if t.limit == 0 || now-t.limitAt > maxAge {
		return slots
	}
	return min(t.limit, slots)
}

// Duration returns the mean time in which the target answers requests of the route, or 0 if it is unknown.
func (t *Target) Duration(tag uint8, now time.Duration) time.Duration {
	for i := range t.routes {
		if r := &t.routes[i]; r.tag == tag && now-r.at <= maxAge {
			return encap.Duration(r.code)
		}
	}
	return 0
}

// LongestDuration returns the longest of the mean times in which the target answers requests, or 0 if none is known.
func (t *Target) LongestDuration(now time.Duration) time.Duration {
	code := uint8(0)
	for i := range t.routes {
		if now-t.routes[i].at <= maxAge {
			code = max(code, t.routes[i].code)
		}
	}
	return encap.Duration(code)
}

// Speeds compares the targets of each service by the reports of their agents.
type Speeds struct {
	minSpeed, maxSpeed float64
	targets            map[[4]byte]*Target
	services           map[string]*serviceSpeeds
	codes              []uint16 // reused by updateMedians
}

// serviceSpeeds holds the median durations of one service.
type serviceSpeeds struct {
	name       string
	targets    map[[4]byte]*Target
	medians    map[uint8]float64 // median duration in seconds by tag
	computedAt time.Duration
}

// NewSpeeds returns speeds without reports. Speeds lie between the bounds.
func NewSpeeds(minSpeed, maxSpeed float64) *Speeds {
	return &Speeds{
		minSpeed: minSpeed,
		maxSpeed: maxSpeed,
		targets:  make(map[[4]byte]*Target),
		services: make(map[string]*serviceSpeeds),
	}
}

// Record stores a report about the target of a service with the number of slots, and returns the target and what
// changed. The report must not be zero.
func (s *Speeds) Record(ip [4]byte, service string, slots int, c encap.Capacity, now time.Duration) (*Target, Change) {
	t := s.target(ip, service)
	change := Change{LimitFrom: t.Limit(slots, now)}
	if c.Limit == 0 && c.DurationCode == 0 {
		t.routes, t.speed, t.limit = t.routes[:0], 1, 0
	}
	if c.Limit > 0 {
		change.Implausible = int(c.Limit) > slots
		t.limit, t.limitAt = min(int(c.Limit), slots), now
	}
	switch duration := encap.Duration(c.DurationCode); {
	case duration > longestDuration:
		change.Implausible = true
	case duration > 0:
		t.store(c.RouteTag, c.DurationCode, now)
		t.at = now
		s.updateMedians(t.service, now)
		t.speed = s.speed(t, now)
	}
	change.LimitTo = t.Limit(slots, now)
	change.speedChanged(t, now)
	return t, change
}

// target returns the target on the VM, and creates it if the VM had none of this service.
func (s *Speeds) target(ip [4]byte, service string) *Target {
	t := s.targets[ip]
	if t != nil && t.service.name == service {
		return t
	}
	s.Forget(ip)
	group := s.services[service]
	if group == nil {
		group = &serviceSpeeds{name: service, targets: make(map[[4]byte]*Target), medians: make(map[uint8]float64)}
		s.services[service] = group
	}
	t = &Target{service: group, speed: 1}
	s.targets[ip], group.targets[ip] = t, t
	return t
}

// Forget removes what is known about the target on the VM.
func (s *Speeds) Forget(ip [4]byte) {
	t := s.targets[ip]
	if t == nil {
		return
	}
	delete(s.targets, ip)
	delete(t.service.targets, ip)
	if len(t.service.targets) == 0 {
		delete(s.services, t.service.name)
	}
}

// Outdated returns the VMs whose target, of the service, is not valid any more.
func (s *Speeds) Outdated(isValid func(ip [4]byte, service string) bool) [][4]byte {
	var outdated [][4]byte
	for ip, t := range s.targets {
		if !isValid(ip, t.service.name) {
			outdated = append(outdated, ip)
		}
	}
	return outdated
}

// Len returns the number of targets.
func (s *Speeds) Len() int { return len(s.targets) }

// store replaces the report about a route.
func (t *Target) store(tag, code uint8, now time.Duration) {
	oldest := 0
	for i := range t.routes {
		if t.routes[i].tag == tag {
			t.routes[i].code, t.routes[i].at = code, now
			return
		}
		if t.routes[i].at < t.routes[oldest].at {
			oldest = i
		}
	}
	report := routeReport{tag: tag, code: code, at: now}
	if len(t.routes) < maxRoutes {
		t.routes = append(t.routes, report)
		return
	}
	t.routes[oldest] = report
}

// speed returns the mean, over the routes of the target that can be compared, of median / duration.
func (s *Speeds) speed(t *Target, now time.Duration) float64 {
	sum, count := 0.0, 0
	for i := range t.routes {
		r := &t.routes[i]
		median, known := t.service.medians[r.tag]
		weight := trust(now - r.at)
		if !known || weight == 0 {
			continue
		}
		ratio := median / encap.Duration(r.code).Seconds()
		sum += 1 + (s.bound(ratio)-1)*weight
		count++
	}
	if count == 0 {
		return 1
	}
	return s.bound(sum / float64(count))
}

func (s *Speeds) bound(speed float64) float64 { return min(max(speed, s.minSpeed), s.maxSpeed) }

// updateMedians computes the medians of a service, unless that was done within medianInterval.
func (s *Speeds) updateMedians(group *serviceSpeeds, now time.Duration) {
	if group.computedAt != 0 && now-group.computedAt < medianInterval {
		return
	}
	group.computedAt = now
	clear(group.medians)
	s.codes = s.codes[:0]
	for _, t := range group.targets {
		for i := range t.routes {
			if r := &t.routes[i]; now-r.at <= maxAge {
				s.codes = append(s.codes, uint16(r.tag)<<8|uint16(r.code))
			}
		}
	}
	slices.Sort(s.codes)
	for start := 0; start < len(s.codes); {
		end := start + 1
		for end < len(s.codes) && s.codes[end]>>8 == s.codes[start]>>8 {
			end++
		}
		if end-start >= minTargets {
			group.medians[uint8(s.codes[start]>>8)] = medianSeconds(s.codes[start:end])
		}
		start = end
	}
}

// medianSeconds returns the median of the durations in the lower bytes of sorted codes. If their number is even, it is
// the geometric mean of the two middle ones.
func medianSeconds(codes []uint16) float64 {
	low := encap.Duration(uint8(codes[(len(codes)-1)/2]))
	high := encap.Duration(uint8(codes[len(codes)/2]))
	return math.Sqrt(low.Seconds() * high.Seconds())
}
