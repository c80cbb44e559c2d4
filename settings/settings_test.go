package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/settings"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against examples that are printed for operators but do not load.
func TestExamplesLoad(t *testing.T) {
	balancer, err := settings.LoadBalancer(write(t, settings.BalancerExample))
	require.NoError(t, err)
	require.Equal(t, "entry-1", balancer.VM)
	require.Equal(t, 5*time.Second, time.Duration(balancer.ShutdownDelay))
	agent, err := settings.LoadAgent(write(t, settings.AgentExample))
	require.NoError(t, err)
	require.Equal(t, 10*time.Minute, time.Duration(agent.DrainPeriod))
}

// Guards against accepting settings with a misspelled key or an invalid value, and against errors that lack
// the path of the field.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"vm":`, `"vmm": "x", "vm":`, "vmm: want one of"},
		{"unknown nested key", `"url":`, `"uri": "x", "url":`, "target.uri: want one of health_path"},
		{"missing", `"failure_domain": "leinster-a",`, ``, "failure_domain: want"},
		{"type", `"reply_direct": false`, `"reply_direct": "no"`, "reply_direct: want a value of type bool"},
		{"address", `"control": "127.0.0.21:7401", // TCP`, `"control": "127.0.0.21:0", // TCP`, "listen.control: want"},
		{"unit", `"drain_period": "10m"`, `"drain_period": "10"`, `want a duration with a unit`},
		{"url", `"url": "http://`, `"url": "tcp://`, "target.url: want a URL"},
		{"level", `"level": "info"`, `"level": "loud"`, "log.level: want debug"},
		{"not JSON", `"vm":`, `vm:`, "settings.json"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(settings.AgentExample, c.old, c.new, 1)
			require.NotEqual(t, settings.AgentExample, text)
			_, err := settings.LoadAgent(write(t, text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against reporting only the first error, so that an operator would have to load the file once per error.
func TestLoadReportsAllErrors(t *testing.T) {
	_, err := settings.LoadAgent(write(t, `{"vm": ""}`))
	for _, path := range []string{"vm:", "failure_domain:", "listen.data:", "platform.config_url:", "keys.dir:", "target.url:"} {
		require.ErrorContains(t, err, path)
	}
}

// Guards against errors without a line and column, and against an invalid value that hides the errors of
// other fields.
func TestErrorsHavePositions(t *testing.T) {
	path := write(t, `{
  // comment
  "vm": "bench-1", "failure_domain": 7,
  "listen": {"data": "127.0.0.1", "control": "127.0.0.1:2", "admin": "127.0.0.1:3", "extra": 1},
  "drain_period": "10",
  "target": "http://127.0.0.1:4"
}`)
	_, err := settings.LoadAgent(path)
	for _, want := range []string{
		path + ":3:38: failure_domain: want a value of type string, found 7",
		path + ":4:22: listen.data: want an IPv4 address and a port",
		path + ":4:94: listen.extra: want one of admin, control, data",
		path + ":5:19: drain_period: want a duration with a unit",
		path + ":6:13: target: want an object with the keys health_path, load_path, url",
		path + ":1:1: platform.config_url: want a URL",
	} {
		require.ErrorContains(t, err, want)
	}
}
