package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// idleEnv is the environment variable that passes the agent's address to the process with the callers. They run
// in another process, so that their memory is not counted.
const idleEnv = "AGENT_IDLE_ADDRESS"

const idleConnections = 2000

// BenchmarkIdleConnection reports the memory that an agent uses for a connection after one request.
func BenchmarkIdleConnection(b *testing.B) {
	target := startTarget(b, func(http.ResponseWriter, *http.Request) {})
	r := startTestAgent(b, target)
	limits := limitsFromRule(r.agent.service())
	limits.Slots = 1 // a cold target accepts only a share of its connections
	r.agent.limiter.SetLimits(limits)
	before := memoryUsage()
	for b.Loop() {
		callers := exec.Command(os.Args[0])
		callers.Env = append(os.Environ(), idleEnv+"="+r.addr.String())
		callers.Stderr = os.Stderr
		out, err := callers.StdoutPipe()
		require.NoError(b, err)
		in, err := callers.StdinPipe()
		require.NoError(b, err)
		require.NoError(b, callers.Start())
		_, err = bufio.NewReader(out).ReadString('\n')
		require.NoError(b, err)
		require.Equal(b, idleConnections, r.agent.Snapshot().Connections)
		time.Sleep(2 * time.Second)
		after := memoryUsage()
		b.ReportMetric((after.heap-before.heap)/idleConnections, "heap-B/conn")
		b.ReportMetric((after.stack-before.stack)/idleConnections, "stack-B/conn")
		b.ReportMetric(float64(runtime.NumGoroutine())/idleConnections, "goroutines/conn")
		require.NoError(b, in.Close())
		require.NoError(b, callers.Wait())
	}
}

type usage struct{ heap, stack float64 }

func memoryUsage() usage {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{heap: float64(m.HeapAlloc), stack: float64(m.StackInuse)}
}

// holdIdleConnections opens the connections, reports on standard output when all are open, and keeps them open
// until standard input ends.
func holdIdleConnections(address string) error {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	for range idleConnections {
		if err := openIdleConnection(transport, to); err != nil {
			return err
		}
	}
	fmt.Println("open")
	_, _ = os.Stdin.Read(make([]byte, 1))
	return nil
}

func openIdleConnection(transport *quic.Transport, to net.Addr) error {
	conn, err := transport.Dial(context.Background(), to, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodGet, "https://localhost/", nil)
	if err != nil {
		return err
	}
	response, err := (&http3.Transport{}).NewClientConn(conn).RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
