package configservice_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/configservice"
	"github.com/cowslipward/cowslipward/settings"
)

// Guards against repeated responses that use up the control traffic budget of a process: a query waits longer
// if the value is large. Also guards against accepting responses that are not a rule file or a VM list.
func TestWaitDependsOnResponseSize(t *testing.T) {
	value := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", 500_000)))
	answer := ""
	var query string
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		w.Header().Set("X-Consul-Index", "7")
		_, _ = fmt.Fprint(w, answer)
	}))
	defer service.Close()
	client := configservice.NewClient(settings.Platform{ConfigURL: service.URL, VMsURL: service.URL, RulesKey: "rules"}, netip.Addr{})

	for _, bad := range []string{"", "{", "[{\"Value\":\"%%\"}]", "[]", "[{\"Value\":3}]"} {
		answer = bad
		_, err := client.Rules(t.Context(), 0)
		require.Error(t, err, "%q", bad)
	}
	answer = fmt.Sprintf(`[{"Value":%q,"ModifyIndex":7}]`, value)
	rules, err := client.Rules(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, query)
	require.EqualValues(t, 7, rules.Revision)
	_, err = client.Rules(t.Context(), 7)
	require.NoError(t, err)
	require.Equal(t, "index=7&wait=166s", query)

	answer = `{"index":3,"vms":[{"name":"","role":"target"},{"name":"a","role":"other"},
		{"name":"bench-1","role":"target","state":"leaving","control":"10.0.0.1:7401"}]}`
	list, err := client.VMs(t.Context(), "a&b", 2)
	require.NoError(t, err)
	require.Equal(t, "domain=a%26b&index=2&wait=1s", query)
	require.Len(t, list.VMs, 1)
	require.True(t, list.VMs[0].Leaving)
}

// Guards against a client that waits too long on a connection that no longer delivers data: a changed rule must
// be in force within 4 s even if the blocking queries of all clients are lost.
func TestQueryTimesOutOnSilentConnection(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer service.Close()
	client := configservice.NewClient(settings.Platform{ConfigURL: service.URL, RulesKey: "rules"}, netip.Addr{})
	begin := time.Now()
	_, err := client.Rules(t.Context(), 7)
	require.Error(t, err)
	require.Less(t, time.Since(begin), 3*time.Second)
}
