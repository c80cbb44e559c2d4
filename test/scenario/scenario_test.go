package scenario_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/test/scenario"
)

// Runs the scripts of the scenarios directory against the programs of the bin directory. "make scenarios" builds them
// and sets COWSLIP_BIN; without it the scripts are skipped, so that "go test ./..." does not use old programs.
func TestScenarios(t *testing.T) {
	bin := os.Getenv("COWSLIP_BIN")
	if bin == "" {
		t.Skip("COWSLIP_BIN is not set; use make scenarios")
	}
	bin, err := filepath.Abs(bin)
	require.NoError(t, err)
	testscript.Run(t, scenario.Params(filepath.Join("..", "..", "scenarios"), bin))
}
