package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/standin/platform"
)

func send(t *testing.T, method, url, body string) (string, error) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against blocking queries that are not woken by a write, responses in mode "down", and new values in mode
// "stale".
func TestBlockingQueryAndFaults(t *testing.T) {
	server := httptest.NewServer(platform.New())
	defer server.Close()
	kv := server.URL + "/v1/kv/rules"
	put := func(text string) { _, _ = send(t, http.MethodPut, server.URL+"/control/kv/rules", text) }
	fault := func(text string) { _, _ = send(t, http.MethodPost, server.URL+"/control/fault", text) }
	put("one")
	text, err := send(t, http.MethodGet, kv, "")
	require.NoError(t, err)
	var entries []struct {
		Value       []byte
		ModifyIndex uint64
	}
	require.NoError(t, json.Unmarshal([]byte(text), &entries))
	require.Equal(t, "one", string(entries[0].Value))
	require.Equal(t, uint64(1), entries[0].ModifyIndex)

	woken := make(chan string, 1)
	go func() {
		text, _ := send(t, http.MethodGet, kv+"?index=1&wait=10s", "")
		woken <- text
	}()
	time.Sleep(20 * time.Millisecond)
	put("two")
	require.Contains(t, <-woken, `"ModifyIndex":2`)

	fault(`{"part":"rules","mode":"stale"}`)
	put("three")
	text, err = send(t, http.MethodGet, kv, "")
	require.NoError(t, err)
	require.Contains(t, text, `"ModifyIndex":2`)

	fault(`{"part":"rules","mode":"down","readers":["127.0.0.1"]}`)
	_, err = send(t, http.MethodGet, kv, "")
	require.Error(t, err)
	fault(`{"part":"rules","mode":"up"}`)
	text, err = send(t, http.MethodGet, kv, "")
	require.NoError(t, err)
	require.Contains(t, text, `"ModifyIndex":3`)
}
