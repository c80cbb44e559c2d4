// Package ticket lets a request that may not be repeated run at most once. A ticket names the agent and the
// incarnation that issued it; only that incarnation runs a request under it, once, and keeps the answer for retries.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/keys"
)

// Wire format: version u8, key id u8, control IPv4 u32 and port u16, started u64, sequence u64, expiry u64 (Unix
// milliseconds by the issuer's clock), MAC 16 bytes (HMAC-SHA256 truncated), all in base64url without padding.
const (
	version    = 1
	macBytes   = 16
	bodyBytes  = 1 + 1 + 4 + 2 + 8 + 8 + 8
	totalBytes = bodyBytes + macBytes
)

// Errors of Parse. A request whose ticket does not parse has not run under it.
var (
	ErrMalformed = errors.New("ticket is malformed")
	ErrForged    = errors.New("ticket has no valid MAC")
)

// Ticket is the right to run one request once.
type Ticket struct {
	Control  netip.AddrPort // control address of the issuing agent
	Started  uint64         // start time of the issuing incarnation, Unix milliseconds
	Sequence uint64         // number of the ticket within the incarnation, from 1
	Expiry   time.Time      // by the issuer's own clock

	// Request is the fingerprint of the request that presents the ticket; zero for none. It is not part of the text.
	Request uint64
}

// Fingerprint identifies a request, so that a ticket cannot fetch the answer to another one.
func Fingerprint(method, uri string) uint64 {
	return xxhash.Sum64String(method + " " + uri)
}

// Encode returns the ticket under the active key of the ring.
func (t Ticket) Encode(ring keys.Ring) string {
	key := ring.Active()
	body := t.appendBody(make([]byte, 0, totalBytes), key.ID)
	return base64.RawURLEncoding.EncodeToString(append(body, mac(key, body)...))
}

func (t Ticket) appendBody(dst []byte, keyID uint8) []byte {
	ip := t.Control.Addr().Unmap().As4()
	b := cryptobyte.NewBuilder(dst)
	b.AddUint8(version)
	b.AddUint8(keyID)
	b.AddBytes(ip[:])
	b.AddUint16(t.Control.Port())
	b.AddUint64(t.Started)
	b.AddUint64(t.Sequence)
	b.AddUint64(uint64(t.Expiry.UnixMilli()))
	return b.BytesOrPanic()
}

func mac(key keys.Key, body []byte) []byte {
	h := hmac.New(sha256.New, key.Secret[:])
	h.Write([]byte("cowslipward ticket"))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// Parse reads a ticket and verifies it under any live key of the ring. It returns ErrMalformed or ErrForged.
func Parse(ring keys.Ring, text string) (Ticket, error) {
	if base64.RawURLEncoding.DecodedLen(len(text)) != totalBytes {
		return Ticket{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != totalBytes {
		return Ticket{}, ErrMalformed
	}
	body, sum := raw[:bodyBytes], raw[bodyBytes:]
	if body[0] != version {
		return Ticket{}, ErrMalformed
	}
	if !verify(ring, body, sum) {
		return Ticket{}, ErrForged
	}
	return parseBody(body[2:])
}

func verify(ring keys.Ring, body, sum []byte) bool {
	for _, key := range ring.Live() {
		if key.ID == body[1] && hmac.Equal(mac(key, body), sum) {
			return true
		}
	}
	return false
}

func parseBody(body []byte) (Ticket, error) {
	var ip [4]byte
	var port uint16
	var started, sequence, expiry uint64
	s := cryptobyte.String(body)
	ok := s.CopyBytes(ip[:]) && s.ReadUint16(&port) && s.ReadUint64(&started) && s.ReadUint64(&sequence) &&
		s.ReadUint64(&expiry) && s.Empty()
	if !ok {
		return Ticket{}, ErrMalformed
	}
	return Ticket{
		Control:  netip.AddrPortFrom(netip.AddrFrom4(ip), port),
		Started:  started,
		Sequence: sequence,
		Expiry:   time.UnixMilli(int64(expiry)),
	}, nil
}
