package agent

import (
	"os"
	"testing"
)

var tempRoot string

func tempDir() (string, error) { return os.MkdirTemp(tempRoot, "keys") }

func TestMain(m *testing.M) {
	if address := os.Getenv(idleEnv); address != "" {
		if err := holdIdleConnections(address); err != nil {
			panic(err)
		}
		return
	}
	var err error
	if tempRoot, err = os.MkdirTemp("", "agent"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(tempRoot)
	os.Exit(code)
}
