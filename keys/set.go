package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Names of the files in a key directory.
const (
	FileConnID    = "connid.keys"
	FileTunnel    = "tunnel.keys"
	FileReset     = "reset.key"
	FileTicket    = "ticket.keys"
	FileCaller    = "caller.crt"
	FileCallerKey = "caller.key"
	FileCallerCA  = "caller-ca.crt"
	FilePeer      = "peer.crt"
	FilePeerKey   = "peer.key"
	FilePeerCA    = "peer-ca.crt"
)

// PeerName is the DNS name in every peer certificate. The certificate proves only that a process belongs to
// the fleet; peers are identified by their addresses.
const PeerName = "cowslipward-peer"

// Set holds all keys and certificates of a process. It must not be modified.
type Set struct {
	ConnID   Ring              // encrypts connection IDs
	Tunnel   Ring              // authenticates tunnel packets
	Ticket   Ring              // authenticates at-most-once tickets
	Reset    [SecretBytes]byte // derives stateless reset tokens, RFC 9000 section 10.3
	Caller   tls.Certificate   // presented to callers
	CallerCA *x509.CertPool    // trusted by callers
	Peer     tls.Certificate   // presented to peers
	PeerCA   *x509.CertPool    // trusted by peers
}

// Load reads a key directory. The error joins the errors of all files and never contains a secret.
func Load(dir string) (*Set, error) {
	l := loader{dir: dir}
	set := &Set{
		ConnID:   l.ring(FileConnID),
		Tunnel:   l.ring(FileTunnel),
		Ticket:   l.ring(FileTicket),
		Caller:   l.certificate(FileCaller, FileCallerKey),
		CallerCA: l.pool(FileCallerCA),
		Peer:     l.certificate(FilePeer, FilePeerKey),
		PeerCA:   l.pool(FilePeerCA),
	}
	if reset := l.ring(FileReset); len(reset.keys) > 0 {
		set.Reset = reset.Active().Secret
	}
	l.checkChain(FileCaller, set.Caller, FileCallerCA, set.CallerCA)
	l.checkChain(FilePeer, set.Peer, FilePeerCA, set.PeerCA)
	if err := errors.Join(l.errs...); err != nil {
		return nil, fmt.Errorf("load keys: %w", err)
	}
	return set, nil
}

// loader reads the files of a key directory and collects their errors.
type loader struct {
	dir  string
	errs []error
}

func (l *loader) addError(file string, err error) {
	l.errs = append(l.errs, fmt.Errorf("%s: %w", filepath.Join(l.dir, file), err))
}

func (l *loader) read(file string) ([]byte, bool) {
	text, err := os.ReadFile(filepath.Join(l.dir, file))
	if err != nil {
		l.errs = append(l.errs, err)
		return nil, false
	}
	return text, true
}

func (l *loader) ring(file string) Ring {
	text, ok := l.read(file)
	if !ok {
		return Ring{}
	}
	ring, err := parseRing(text)
	if err != nil {
		l.addError(file, err)
	}
	return ring
}

func (l *loader) certificate(certFile, keyFile string) tls.Certificate {
	cert, ok := l.read(certFile)
	key, keyOK := l.read(keyFile)
	if !ok || !keyOK {
		return tls.Certificate{}
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		l.addError(certFile, fmt.Errorf("does not match %s or is malformed: %w", keyFile, err))
		return tls.Certificate{}
	}
	return pair
}

func (l *loader) pool(file string) *x509.CertPool {
	text, ok := l.read(file)
	if !ok {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		l.addError(file, errors.New("found no certificate, want at least one in PEM"))
	}
	return pool
}

// checkChain records an error if the certificate has expired or is not signed by the CA in caFile.
func (l *loader) checkChain(file string, pair tls.Certificate, caFile string, pool *x509.CertPool) {
	if pair.Leaf == nil || pool == nil {
		return
	}
	if now := time.Now(); now.After(pair.Leaf.NotAfter) {
		l.addError(file, fmt.Errorf("expired at %s", pair.Leaf.NotAfter.UTC().Format(time.RFC3339)))
		return
	}
	options := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := pair.Leaf.Verify(options); err != nil {
		l.addError(file, fmt.Errorf("is not signed by %s: %w", caFile, err))
	}
}
