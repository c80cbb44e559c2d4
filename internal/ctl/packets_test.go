package ctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/ctl"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// runCommand runs cowslipctl with empty standard input and returns its exit code, standard output and standard error.
func runCommand(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Main(args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestTracePrintsTheFlowOfARequestInTimeOrder(t *testing.T) {
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
	require.Contains(t, errs, "no log line for request")
	code, _, _ = runCommand("packets", "trace", agent)
	require.Equal(t, ctl.ExitUsage, code)
}

func TestPacketsStatusReportsUnreachableBalancers(t *testing.T) {
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

// Guards against learned capacities that operators cannot see, and against columns that shift if nothing is learned.
func TestPacketsStatusShowsLearnedCapacity(t *testing.T) {
	balancer := startProcess(t, map[string]string{packetstatus.StatusPath: `{"vm":"entry-1","targets":[
		{"id":"i-1","slots":2,"work":0.5,"speed":0.46,"limit":1,"duration_ms":23.6,"eligible":true},
		{"id":"i-2","slots":2,"work":0.5,"eligible":true}]}`})
	code, out, _ := runCommand("packets", "status", "--targets", balancer)
	require.Equal(t, ctl.ExitDone, code)
	require.Regexp(t, `i-1 .* 2 +0.50 +0.46 +1 +23.6ms +true`, out)
	require.Regexp(t, `i-2 .* 2 +0.50 +- +- +- +true`, out)
	agent := startProcess(t, map[string]string{packetstatus.FlowsPath: `{"slots":2,"limit":1,"duration_ms":23.6}`})
	_, out, _ = runCommand("packets", "flows", agent)
	require.Contains(t, out, "1 of 2 slots handled well, mean time to an answer 23.6 ms")
}

// startProcess starts an HTTP server that serves the given body for each path, in place of a process of the packet
// path, and returns its address.
func startProcess(t *testing.T, bodies map[string]string) string {
	mux := http.NewServeMux()
	for path, body := range bodies {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestPacketsFlowsListsTheFlowsOfATarget(t *testing.T) {
	agent := startProcess(t, map[string]string{packetstatus.FlowsPath: `{"vm":"side-1","target":"10.0.0.1:80","service":"bench","load":1,
		"slots":9,"flows":[{"flow":"100.64.0.1:5-198.18.0.1:443","state":"working","age_ms":1500}]}`})
	code, out, _ := runCommand("packets", "flows", agent)
	require.Equal(t, ctl.ExitDone, code)
	require.Contains(t, out, "1 of 9 slots")
	require.Regexp(t, `100.64.0.1:5-198.18.0.1:443\s+working\s+1.5s`, out)
	code, _, _ = runCommand("packets", "flows", "127.0.0.1:1")
	require.Equal(t, ctl.ExitFailed, code)
}

func TestPacketsBurnSumsOutcomesOfAgentsAndBalancers(t *testing.T) {
	const outcomes = `[{"service":"bench","summary":{"Windows":[{"Good":%d,"Bad":%d},{"Good":%d,"Bad":%d},{"Good":%d,"Bad":%d},{"Good":%d,"Bad":%d}]}}]`
	body := func(good, bad int) string {
		return fmt.Sprintf(outcomes, good, bad, good, bad, good, bad, good, bad)
	}
	agent := startProcess(t, map[string]string{packetstatus.OutcomesPath: body(900, 50)})
	balancer := startProcess(t, map[string]string{packetstatus.OutcomesPath: body(0, 50)})
	code, out, _ := runCommand("packets", "burn", "--output", "json", "--objective", "99", agent, balancer)
	require.Equal(t, ctl.ExitDone, code)
	var got struct {
		Services []struct {
			Name    string `json:"name"`
			Alert   string `json:"alert"`
			Windows []struct {
				Good     int     `json:"good"`
				Bad      int     `json:"bad"`
				BurnRate float64 `json:"burn_rate"`
			} `json:"windows"`
		} `json:"services"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &got), out)
	require.Len(t, got.Services, 1)
	require.Equal(t, 900, got.Services[0].Windows[0].Good)
	require.Equal(t, 100, got.Services[0].Windows[0].Bad)
	require.InDelta(t, 10, got.Services[0].Windows[0].BurnRate, 0.01)
	require.Equal(t, "slow", got.Services[0].Alert)
	code, _, errs := runCommand("packets", "burn", agent, "127.0.0.1:1")
	require.Equal(t, ctl.ExitPartial, code)
	require.Contains(t, errs, "1 of 2 processes")
	code, _, _ = runCommand("packets", "burn", "--objective", "100", agent)
	require.Equal(t, ctl.ExitUsage, code)
}

// explanationBody returns what a balancer answers about a flow, with a target whose load is as given.
func explanationBody(domain string, load, remote float64) string {
	return fmt.Sprintf(`{"vm":"entry-%[1]s","failure_domain":"%[1]s","version":7,"revision":12,"store_era":3,"view_age_ms":200,"route":"r-1",
		"service":"bench","hash_point":2,"choices":[{"service":"bench","from":0,"to":3},{"service":"archive","from":3,"to":4}],
		"admission":{"priority":2,"objective_ms":300,"said":6,"full":7,"eligible":8,"direct":true,"overloaded":true,"for_ms":40},
		"choice":"i-1","outcome":"direct","order":[
		{"id":"i-1","service":"bench","slots":2,"eligible":true,"report_age_ms":150,"wait_ms":80,"cost":%[4]g,
			"parts":[{"name":"load","value":%[2]g,"detail":"1.00 in progress"},{"name":"failure domain","value":%[3]g}]},
		{"id":"i-2","service":"archive","cold_for_ms":1500,"cold_rate":2.5,"reason":"cold for 1.5s"}]}`, domain, load, remote, load+remote)
}

// Guards against inputs of a decision that operators cannot see: weights, admission, parts of the cost and ages.
func TestPacketsExplainShowsTheInputsOfADecision(t *testing.T) {
	balancer := startProcess(t, map[string]string{packetstatus.ExplainPath: explanationBody("a", 0.5, 0.3)})
	code, out, errs := runCommand("packets", "explain", balancer, "1.1.1.1:5", "2.2.2.2:443")
	require.Equal(t, ctl.ExitDone, code, errs)
	for _, want := range []string{
		`balancer entry-a \(.*\), failure domain a: configuration 7, revision 12 of era 3, view confirmed 200ms ago`,
		`route r-1, service bench: the hash of the flow is at 2; bench has weight 3, from 0 to below 3; archive has weight 1`,
		`7 said that they are full, 6 that they are overloaded; new flows go directly .*; overloaded for 40ms`,
		`first offer of a new flow: i-1, which may queue it: the service is full`,
		`i-1 .* true +0.80 +150ms ago +80ms`,
		`i-2 .* - +- +- +1.5s, 2.5 flows/s +cold for 1.5s`,
		`i-1 +load +\+0.500 +1.00 in progress`,
		`i-1 +failure domain +\+0.300`,
	} {
		require.Regexp(t, want, out)
	}
	code, out, _ = runCommand("packets", "explain", "--output", "json", balancer, "1.1.1.1:5", "2.2.2.2:443")
	require.Equal(t, ctl.ExitDone, code)
	var got packetstatus.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Equal(t, "i-1", got.Choice, "one balancer: the fields are at the top, as in earlier versions")
	code, _, _ = runCommand("packets", "explain", "1.1.1.1:5", "2.2.2.2:443")
	require.Equal(t, ctl.ExitUsage, code)
}

// Guards against balancers that disagree without the figure being named, and against figures that do not differ.
func TestPacketsExplainNamesTheDifferences(t *testing.T) {
	a := startProcess(t, map[string]string{packetstatus.ExplainPath: explanationBody("a", 0.5, 0)})
	b := startProcess(t, map[string]string{packetstatus.ExplainPath: explanationBody("b", 0.5, 0.3)})
	code, out, errs := runCommand("packets", "explain", "--balancer", a, "--balancer", b, "1.1.1.1:5", "2.2.2.2:443")
	require.Equal(t, ctl.ExitDone, code, errs)
	_, table, _ := strings.Cut(out, "DIFFERS")
	require.Regexp(t, `cost +i-1 +0.50 +0.80\n`, table)
	require.NotContains(t, table, "cost: load")
	require.NotContains(t, table, "configuration")
	code, out, _ = runCommand("packets", "explain", "-o", "json", a, "1.1.1.1:5", "2.2.2.2:443", "--balancer", b, "--balancer", "127.0.0.1:1")
	require.Equal(t, ctl.ExitPartial, code)
	var got struct {
		Balancers   []packetstatus.Explanation
		Differences []struct {
			Target, Figure string
			Values         []string
		}
	}
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Len(t, got.Balancers, 2)
	require.Len(t, got.Differences, 3)
	require.Equal(t, []string{"a", "b"}, got.Differences[0].Values)
	_, out, _ = runCommand("packets", "explain", "--balancer", a, "--balancer", a, "1.1.1.1:5", "2.2.2.2:443")
	require.Contains(t, out, "the 2 balancers do not differ")
}
