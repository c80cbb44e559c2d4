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
	coldSlots   = 2 // capacity when cold
	warmService = 20 * time.Millisecond
	coldFactor  = 4.0 // relative increase of the service time when cold
	loadFactor  = 0.5 // relative increase of the service time at capacity
	tick        = 2 * time.Millisecond
	// coldServiceTime is a service time that a warm target never reaches: twice its longest one at capacity.
	coldServiceTime = time.Duration(2 * 1.5 * (1 + loadFactor) * float64(warmService))
)

// target simulates a target whose service time and capacity depend on its warmth. The service time also depends
// on the load, and grows tenfold while the load exceeds the capacity.
type target struct {
	mu           sync.Mutex
	warmth       float64
	running      int
	sheds        bool
	instance     int
	overloads    int // requests that started above the capacity
	undetectable int // overloads before the limiter could detect that the target is cold
	detectable   bool
	completed    int
	failed       int // requests that ended while the target was overloaded
	overloaded   bool
	overloadTime time.Duration // time overloaded by requests that started above the capacity
	warmUp       time.Duration // total service time after which the target is warm
	random       *rand.Rand
}

func newTarget(warmUp time.Duration) *target {
	return &target{detectable: true, warmUp: warmUp, random: rand.New(rand.NewPCG(3, 4))}
}

func (s *target) capacity() int {
	return coldSlots + int(s.warmth*float64(slots-coldSlots)+0.001)
}

// rate returns the share of a request that completes per tick.
func (s *target) rate() float64 {
	load := float64(s.running) / float64(s.capacity())
	service := float64(warmService) * (1 + coldFactor*(1-s.warmth)) * (1 + loadFactor*load*load)
	if s.overloaded {
		service *= 10
	}
	return float64(tick) / service
}

// run processes one request and returns its result.
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
		if s.overloaded {
			s.overloadTime += tick / time.Duration(s.running)
		}
		left -= s.rate()
		if s.instance != instance {
			s.endRequest(started)
			s.detectable = true
			s.mu.Unlock()
			return admission.Reset
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overloaded {
		s.failed++
	} else {
		s.completed++
	}
	s.endRequest(started)
	s.warmth = min(1, s.warmth+time.Since(started).Seconds()/s.warmUp.Seconds())
	return admission.Completed
}

func (s *target) noteOverload() {
	s.overloads++
	if !s.detectable {
		s.undetectable++
	}
	s.overloaded = true
}

func (s *target) endRequest(started time.Time) {
	s.running--
	if s.running <= s.capacity() {
		s.overloaded = false
	}
	if time.Since(started) > coldServiceTime {
		s.detectable = true
	}
}

// becomeCold sets the warmth to zero. A restart also ends the running requests, each at its next tick: until
// the first of them has ended, the limiter cannot detect the restart.
func (s *target) becomeCold(restart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = 0
	s.detectable = false
	if restart {
		s.instance++
	}
}
