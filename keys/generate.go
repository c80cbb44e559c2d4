package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// generatedLifetime is the validity of generated certificates. They are for evaluation; production
// certificates come from the operators' CA.
const generatedLifetime = 90 * 24 * time.Hour

// clockSkew is subtracted from the start of validity, so that hosts whose clocks are behind accept new certificates.
const clockSkew = time.Hour

const (
	modeSecret = 0o600
	modePublic = 0o644
	modeDir    = 0o700
)

// Generate writes a complete set of keys and certificates to the directory. The certificate shown to callers
// is valid for the given names and IPs. Generate does not overwrite existing files.
func Generate(dir string, callerNames []string, callerIPs []net.IP) error {
	if err := os.MkdirAll(dir, modeDir); err != nil {
		return fmt.Errorf("generate keys: %w", err)
	}
	for _, file := range []string{FileConnID, FileTunnel, FileReset, FileTicket} {
		if err := writeRing(filepath.Join(dir, file)); err != nil {
			return fmt.Errorf("generate keys: %w", err)
		}
	}
	callers := certificateSpec{cert: FileCaller, key: FileCallerKey, ca: FileCallerCA, names: callerNames, ips: callerIPs}
	peers := certificateSpec{cert: FilePeer, key: FilePeerKey, ca: FilePeerCA, names: []string{PeerName}}
	for _, p := range []certificateSpec{callers, peers} {
		if err := p.write(dir); err != nil {
			return fmt.Errorf("generate keys: %w", err)
		}
	}
	return nil
}

func writeRing(path string) error {
	var secret [SecretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return fmt.Errorf("read random bytes: %w", err)
	}
	return writeNew(path, []byte(fmt.Sprintf("1 %x\n", secret)), modeSecret)
}

func writeNew(path string, text []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := file.Write(text); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// certificateSpec describes a certificate and the CA that signs it: their file names and the names and IPs of the
// certificate.
type certificateSpec struct {
	cert, key, ca string
	names         []string
	ips           []net.IP
}

func (p certificateSpec) write(dir string) error {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate CA key: %w", err)
	}
	ca := template("cowslipward try-out CA")
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	leaf := template("cowslipward")
	leaf.DNSNames = p.names
	leaf.IPAddresses = p.ips
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := p.writeCert(filepath.Join(dir, p.ca), ca, ca, caKey, caKey); err != nil {
		return err
	}
	if err := p.writeCert(filepath.Join(dir, p.cert), leaf, ca, leafKey, caKey); err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return writeNew(filepath.Join(dir, p.key), block, modeSecret)
}

func (p certificateSpec) writeCert(path string, cert, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("create certificate: %w", err)
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return writeNew(path, block, modePublic)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(generatedLifetime),
	}
}
