package ctl_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/ctl"
)

// run runs cowslipctl and returns its exit code, its output and its errors.
func runCommand(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Main(args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestTraceTellsTheStoryOfARequestInOrder(t *testing.T) {
	dir := t.TempDir()
	agent := filepath.Join(dir, "agent.log")
	balancer := filepath.Join(dir, "balancer.log")
	require.NoError(t, os.WriteFile(agent, []byte(
		"time=2026-01-01T00:00:02.5Z level=INFO msg=request_forwarded flow=1.1.1.1:5-2.2.2.2:443 request=abc load=1\n"+
			"time=2026-01-01T00:00:02.2Z level=INFO msg=flow_offered flow=1.1.1.1:5-2.2.2.2:443 verdict=accept\n"+
			"time=2026-01-01T00:00:02.2Z level=INFO msg=flow_offered flow=1.1.1.1:6-2.2.2.2:443 verdict=accept\n"), 0o600))
	require.NoError(t, os.WriteFile(balancer, []byte(
		"time=2026-01-01T00:00:02.1Z level=INFO msg=flow_decision flow=1.1.1.1:5-2.2.2.2:443 cause=placed\n"), 0o600))
	code, out, errs := runCommand("packets", "trace", "--request", "abc", agent, balancer)
	require.Equal(t, ctl.ExitDone, code, errs)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 4)
	require.Contains(t, lines[1], "cause=placed")
	require.Contains(t, lines[2], "verdict=accept")
	require.Contains(t, lines[3], "request=abc")
	code, _, errs = runCommand("packets", "trace", "--request", "unknown", agent)
	require.Equal(t, ctl.ExitFailed, code)
	require.Contains(t, errs, "no line names request")
	code, _, _ = runCommand("packets", "trace", agent)
	require.Equal(t, ctl.ExitUsage, code)
}

func TestPacketsStatusTellsWhatIsMissing(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vm":"entry-1","version":7,"targets":[{"id":"i-1","reason":"the target is draining"}]}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, _ := runCommand("packets", "status", address)
	require.Equal(t, ctl.ExitDone, code)
	require.Contains(t, out, "entry-1")
	code, out, _ = runCommand("packets", "status", "--targets", address, "127.0.0.1:1")
	require.Equal(t, ctl.ExitPartial, code)
	require.Contains(t, out, "the target is draining")
}
