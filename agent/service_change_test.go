package agent

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Rules of service bench with one slot, and rules that give its VM to service archive.
var (
	oneSlotRules = strings.NewReplacer("slots=9", "slots=1", "queue=200ms", "queue=2s").Replace(rulesText)
	archiveRules = strings.NewReplacer("service bench id=1", "service archive id=2").Replace(oneSlotRules)
)

// Guards against a request for one service that the target of another one runs: a request that waits while the rules give
// its VM to another service is refused as not run.
func TestWaitingRequestIsRefusedWhenVMChangesService(t *testing.T) {
	for name, wait := range map[string]func(t *testing.T, r *testAgent) (resume func()){
		"queued for a slot": func(t *testing.T, r *testAgent) func() {
			busy := make(chan *http.Response, 1)
			go func() {
				response, _ := r.caller.Do(newRequest(t, http.MethodGet, "/busy", nil))
				busy <- response
			}()
			require.Eventually(t, func() bool { return r.agent.Snapshot().InProgress == 1 }, time.Second, time.Millisecond)
			return func() { require.Equal(t, http.StatusOK, (<-busy).StatusCode, "a request in progress goes on") }
		},
		"held until the view is confirmed": func(_ *testing.T, r *testAgent) func() {
			r.source.setConfirmed(false)
			return func() { r.source.setConfirmed(true) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			release := make(chan struct{})
			r := startTestAgent(t, startTarget(t, func(_ http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/busy" {
					<-release
					return
				}
				ran.Add(1)
			}))
			setViews(t, []*testAgent{r}, oneSlotRules)
			require.Eventually(t, func() bool { return r.agent.Snapshot().Slots == 1 }, time.Second, time.Millisecond)
			resume := wait(t, r)
			answer := make(chan *http.Response, 1)
			go func() {
				response, _ := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
				answer <- response
			}()
			time.Sleep(100 * time.Millisecond) // the request arrives
			require.Zero(t, ran.Load())
			setViews(t, []*testAgent{r}, archiveRules)
			close(release)
			resume()
			requireOutcome(t, <-answer, OutcomeNotRun, reasonWrongService)
			require.Zero(t, ran.Load())
		})
	}
}
