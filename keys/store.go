package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// reloadPeriod is how often the key files are checked for changes.
const reloadPeriod = time.Second

// Store holds the current set and replaces it when the files change, so that keys can be rotated without a restart.
type Store struct {
	dir     string
	current atomic.Pointer[Set]
}

// Open returns a store with the set that is loaded from the key directory.
func Open(dir string) (*Store, error) {
	set, err := Load(dir)
	if err != nil {
		return nil, err
	}
	store := &Store{dir: dir}
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

// Run reloads the files when they change, until the context is done. If the new files are invalid, it logs
// the error and keeps the current set.
func (s *Store) Run(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	last := s.lastModified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		modified := s.lastModified()
		if modified.Equal(last) {
			continue
		}
		last = modified
		s.reload(log)
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

// lastModified returns the latest modification time of the files, or the zero time if the directory cannot be read.
func (s *Store) lastModified() time.Time {
	var latest time.Time
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return latest
	}
	for _, entry := range entries {
		info, err := os.Stat(filepath.Join(s.dir, entry.Name()))
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
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
