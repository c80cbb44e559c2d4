package upstream

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowConn blocks each write until it is released, as a process that is paused in a write.
type slowConn struct {
	net.Conn
	writing chan struct{}
	release chan struct{}
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.release
	return len(p), nil
}

// Pattern: an agent is paused while several requests are between their check and their first byte, and its target turns
// cold meanwhile. At most one of them may be written when the agent wakes; the others are checked after the pause.
func TestOneCheckedRequestAtATimeIsUnwritten(t *testing.T) {
	first := &sync.Mutex{}
	slow := &slowConn{writing: make(chan struct{}), release: make(chan struct{})}
	one, two := &gatedConn{Conn: slow, first: first}, &gatedConn{Conn: slow, first: first}
	checked := make(chan struct{}, 1)
	one.begin(nil)
	two.begin(func() error {
		checked <- struct{}{}
		return nil
	})
	go func() { _, _ = one.Write([]byte("a")) }()
	<-slow.writing
	go func() { _, _ = two.Write([]byte("b")) }()
	select {
	case <-checked:
		require.Fail(t, "the second request was checked before the first was written")
	case <-time.After(50 * time.Millisecond):
	}
	slow.release <- struct{}{}
	<-checked
	<-slow.writing
	slow.release <- struct{}{}
}
