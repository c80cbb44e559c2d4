package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/keys"
)

func generate(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"bench"}, []net.IP{net.IPv4(127, 0, 0, 1)}))
	return dir
}

// Guards against generated keys that do not load, and against key files that other users can read.
func TestGenerateThenLoad(t *testing.T) {
	dir := generate(t)
	set, err := keys.Load(dir)
	require.NoError(t, err)
	require.Equal(t, uint8(1), set.ConnID.Active().ID)
	require.NotEqual(t, set.ConnID.Active().Secret, set.Tunnel.Active().Secret)
	info, err := os.Stat(filepath.Join(dir, keys.FileReset))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.Error(t, keys.Generate(dir, nil, nil), "existing keys must not be overwritten")
}

// Guards against errors that omit an invalid file or contain a secret.
func TestLoadReportsAllErrors(t *testing.T) {
	dir := generate(t)
	secret := strings.Repeat("ab", keys.SecretBytes-1)
	require.NoError(t, os.WriteFile(filepath.Join(dir, keys.FileTunnel), []byte("1 "+secret+"\n"), 0o600))
	require.NoError(t, os.Remove(filepath.Join(dir, keys.FileTicket)))
	other := generate(t)
	otherCA, err := os.ReadFile(filepath.Join(other, keys.FilePeerCA))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, keys.FilePeerCA), otherCA, 0o600))

	_, err = keys.Load(dir)
	require.ErrorContains(t, err, "tunnel.keys: line 1: found a bad secret")
	require.ErrorContains(t, err, "ticket.keys")
	require.ErrorContains(t, err, "peer.crt: is not signed by peer-ca.crt")
	require.NotContains(t, err.Error(), secret)
}

// Guards against a control listener that accepts clients whose certificate is signed by another CA.
func TestPeerTLS(t *testing.T) {
	ours, err := keys.Open(generate(t))
	require.NoError(t, err)
	otherFleet, err := keys.Open(generate(t))
	require.NoError(t, err)
	require.NoError(t, handshake(t, ours.PeerServer(), ours.PeerClient()))
	require.Error(t, handshake(t, ours.PeerServer(), otherFleet.PeerClient()))
}

func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	done := make(chan error, 1)
	go func() {
		err := tls.Server(left, server).Handshake()
		_ = left.Close()
		done <- err
	}()
	err := tls.Client(right, client).Handshake()
	_ = right.Close()
	if serverErr := <-done; serverErr != nil {
		return serverErr
	}
	return err
}
