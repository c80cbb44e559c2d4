package admission_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/admission"
)

// Parameters of the simulated target.
const (
	slots       = 9
	coldSlots   = 2 // requests that it bears when cold
	warmService = 20 * time.Millisecond
	coldFactor  = 4.0 // rise of the service time when cold, less one
	loadFactor  = 0.5 // rise of the service time at capacity
	tick        = 2 * time.Millisecond
	// evident is a service time that a warm target never shows: twice its longest one at capacity.
	evident = time.Duration(2 * 1.5 * (1 + loadFactor) * float64(warmService))
)

// target simulates a target: its service time depends on load and warmth, and it falls over above its capacity, which
// depends on warmth too.
type target struct {
	mu         sync.Mutex
	warmth     float64
	running    int
	sheds      bool
	instance   int
	overloads  int // requests that came above its capacity
	blind      int // of these, before anything could be seen from outside
	evidence   bool
	completed  int
	failed     int // ended while it had fallen over
	fallenOver bool
	overTime   time.Duration // above its capacity by requests that came after the turn
	warmUp     time.Duration // time of work of one request after the other until it is warm
	random     *rand.Rand
}

func newTarget(warmUp time.Duration) *target {
	return &target{evidence: true, warmUp: warmUp, random: rand.New(rand.NewPCG(3, 4))}
}

func (s *target) capacity() int {
	return coldSlots + int(s.warmth*float64(slots-coldSlots)+0.001)
}

// rate is the share of a request that is done in a tick.
func (s *target) rate() float64 {
	load := float64(s.running) / float64(s.capacity())
	service := float64(warmService) * (1 + coldFactor*(1-s.warmth)) * (1 + loadFactor*load*load)
	if s.fallenOver {
		service *= 10
	}
	return float64(tick) / service
}

// run processes one request. It returns how the request ended.
func (s *target) run() admission.Result {
	s.mu.Lock()
	s.running++
	over := s.running - s.capacity()
	if over > 0 && s.sheds {
		s.running--
		s.mu.Unlock()
		return admission.Refused
	}
	if over > 0 {
		s.noteOverload()
	}
	instance := s.instance
	work := 0.5 + s.random.Float64()
	s.mu.Unlock()
	started := time.Now()
	for left := work; left > 0; {
		time.Sleep(tick)
		s.mu.Lock()
		if s.fallenOver {
			s.overTime += tick / time.Duration(s.running)
		}
		left -= s.rate()
		if s.instance != instance {
			s.leave(started)
			s.evidence = true
			s.mu.Unlock()
			return admission.Reset
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fallenOver {
		s.failed++
	} else {
		s.completed++
	}
	s.leave(started)
	s.warmth = min(1, s.warmth+time.Since(started).Seconds()/s.warmUp.Seconds())
	return admission.Completed
}

func (s *target) noteOverload() {
	s.overloads++
	if !s.evidence {
		s.blind++
	}
	s.fallenOver = true
}

func (s *target) leave(started time.Time) {
	s.running--
	if s.running <= s.capacity() {
		s.fallenOver = false
	}
	if time.Since(started) > evident {
		s.evidence = true
	}
}

// turnCold loses the warmth. A restart also ends the running requests, each at its next tick: until the first of them
// has ended, nothing can be seen from outside.
func (s *target) turnCold(restart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = 0
	s.evidence = false
	if restart {
		s.instance++
	}
}
