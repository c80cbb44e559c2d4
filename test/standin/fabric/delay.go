package fabric

import (
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// queueLength bounds the packets under way on paths of one delay; more are dropped as by a full switch.
const queueLength = 1 << 16

// delayed is an action that is due at a time.
type delayed struct {
	due time.Time
	do  func()
}

// delayer runs actions after a delay, in order for each delay.
type delayer struct {
	mu     sync.Mutex
	queues map[time.Duration]chan delayed
}

func newDelayer() *delayer {
	return &delayer{queues: make(map[time.Duration]chan delayed)}
}

// after runs the action once the delay is over. It reports false when the queue is full.
func (d *delayer) after(delay time.Duration, do func()) bool {
	if delay <= 0 {
		do()
		return true
	}
	select {
	case d.queue(delay) <- delayed{due: time.Now().Add(delay), do: do}:
		return true
	default:
		return false
	}
}

func (d *delayer) queue(delay time.Duration) chan delayed {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[delay]
	if !ok {
		q = make(chan delayed, queueLength)
		d.queues[delay] = q
		go run(q)
	}
	return q
}

// run performs the actions of a queue when they are due. It sleeps in the kernel on a thread of its own: the timers of the
// Go runtime are rounded up to whole milliseconds while a process is idle, as long as the delays themselves.
func run(q chan delayed) {
	runtime.LockOSThread()
	for item := range q {
		for wait := time.Until(item.due); wait > 0; wait = time.Until(item.due) {
			pause := unix.NsecToTimespec(int64(wait))
			_ = unix.Nanosleep(&pause, nil)
		}
		item.do()
	}
}
