package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reloadPeriod is how often the key files are checked for changes.
const reloadPeriod = time.Second

// Store holds the current set and replaces it when the files change, so that keys can be rotated without a restart.
type Store struct {
	dir     string
	current atomic.Pointer[Set]
	digest  uint64 // of the files, as they were right before the last attempt to load them; only Run changes it
}

// Open returns a store with the set that is loaded from the key directory.
func Open(dir string) (*Store, error) {
	store := &Store{dir: dir, digest: digestFiles(dir)}
	set, err := Load(dir)
	if err != nil {
		return nil, err
	}
	store.current.Store(set)
	return store, nil
}

// NewStore returns a store with a fixed set, for tests and embedding.
func NewStore(set *Set) *Store {
	store := &Store{}
	store.current.Store(set)
	return store
}

// Current returns the set in use, which must not be modified.
func (s *Store) Current() *Set { return s.current.Load() }

// Run reloads the files when their content differs from that of the last attempt, until the context is done. If the new
// files are invalid, it logs the error and keeps the current set. Modification times are not compared: a file that is
// read while it is being written may keep its time.
func (s *Store) Run(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if digest := digestFiles(s.dir); digest != s.digest {
			s.digest = digest
			s.reload(log)
		}
	}
}

func (s *Store) reload(log *slog.Logger) {
	set, err := Load(s.dir)
	if err != nil {
		log.Error("keys_refused", "error", err)
		return
	}
	s.current.Store(set)
	log.Info("keys_loaded", "connid_key", set.ConnID.Active().ID, "tunnel_key", set.Tunnel.Active().ID)
}

// digestFiles returns a digest of the names and the content of the files in the directory. Files that cannot be read
// count as empty.
func digestFiles(dir string) uint64 {
	digest := xxhash.New()
	entries, _ := os.ReadDir(dir) // an unreadable directory is reported by Load
	for _, entry := range entries {
		content, _ := os.ReadFile(filepath.Join(dir, entry.Name()))
		_, _ = fmt.Fprintf(digest, "%s %d ", entry.Name(), len(content))
		_, _ = digest.Write(content)
	}
	return digest.Sum64()
}

// CallerServer returns the TLS configuration with which agents serve callers, for the given ALPN protocols.
func (s *Store) CallerServer(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.Current().Caller, nil
		},
	}
}

// PeerServer returns the TLS configuration of a control listener. Clients must present a peer certificate.
func (s *Store) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set := s.Current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{set.Peer},
				ClientCAs:    set.PeerCA,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// PeerClient returns the TLS configuration for connections to control listeners.
func (s *Store) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.Current().Peer, nil
		},
		// VerifyConnection verifies against the current CA pool instead, since RootCAs is fixed for the life
		// of a Config.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, s.Current().PeerCA)
		},
	}
}

// verifyPeer verifies the server's certificate chain and name as crypto/tls does.
func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, DNSName: PeerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
