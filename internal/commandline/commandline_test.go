package commandline_test

import (
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/commandline"
)

func TestSettingsFileFromFlagOrEnvironment(t *testing.T) {
	cases := []struct {
		name     string
		args     []string
		variable string
		want     string
		check    bool
	}{
		{"flag", []string{"--settings", "a.json"}, "", "a.json", false},
		{"flag takes precedence over environment", []string{"--settings", "a.json", "--check"}, "TEST_SETTINGS", "a.json", true},
		{"environment", nil, "TEST_SETTINGS", "b.json", false},
		{"none", nil, "", "", false},
	}
	t.Setenv("TEST_SETTINGS", "b.json")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var file string
			var check bool
			command := &cobra.Command{Use: "daemon", SilenceErrors: true, SilenceUsage: true}
			commandline.AddSettingsFlags(command, c.variable, func(f string, checkOnly bool) error {
				file, check = f, checkOnly
				return nil
			})
			command.SetArgs(append([]string{}, c.args...))
			err := command.Execute()
			if c.want == "" {
				require.ErrorIs(t, err, commandline.ErrSettings)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, file)
			require.Equal(t, c.check, check)
		})
	}
}
