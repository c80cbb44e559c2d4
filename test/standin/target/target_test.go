package target_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/standin/target"
)

// Guards against a stand-in that hides an overload in a cold start, a repeated run or a request for another service.
func TestTargetRecordsWhatItMustNotGet(t *testing.T) {
	s := target.New(target.Config{Service: "bench", Slots: 4, ColdSlots: 1, ColdTime: time.Minute})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	before := s.Stats().Instance
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			answer, err := http.Get(server.URL + "/bench/paste/a?work=100ms")
			if err == nil {
				_ = answer.Body.Close()
			}
		})
	}
	wg.Wait()
	stats := s.Stats()
	require.Positive(t, stats.OverLimit)
	require.Positive(t, stats.Falls)
	require.NotEqual(t, before, stats.Instance)
	require.Equal(t, stats.Runs, len(s.Runs()))
	require.GreaterOrEqual(t, stats.Runs, 2, "the request that it fell over is a run too")
	_, err := http.Get(server.URL + "/bench/page/c")
	require.Error(t, err, "a target that restarts resets connections")

	time.Sleep(150 * time.Millisecond)
	answer, err := http.Get(server.URL + "/archive/photo/b?bytes=100000")
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, target.Answer("b", nil, 100000), body)
	require.Equal(t, 1, s.Stats().WrongService)
}
