// Package ticket provides at-most-once execution of requests that are not idempotent. A ticket names the agent
// that issued it and the incarnation of that agent. Only this incarnation runs a request with the ticket, at
// most once, and it stores the response for retries.
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

// Errors of Parse. A request whose ticket cannot be parsed has not run with that ticket.
var (
	ErrMalformed = errors.New("ticket is malformed")
	ErrForged    = errors.New("ticket has no valid MAC")
)

// Ticket allows one request to run once.
type Ticket struct {
	Control  netip.AddrPort // control address of the issuing agent
	Started  uint64         // start time of the issuing incarnation, Unix milliseconds
	Sequence uint64         // sequence number within the incarnation, from 1
	Expiry   time.Time      // by the issuer's own clock

	// Request is the fingerprint of the request that presents the ticket, zero for none. It is not part of the
	// encoded ticket.
	Request uint64
}

// Fingerprint identifies a request, so that a ticket cannot be used to obtain the response to another request.
func Fingerprint(method, uri string) uint64 {
	return xxhash.Sum64String(method + " " + uri)
}

// Encode returns the encoded ticket, authenticated with the active key of the ring.
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

// Parse decodes a ticket and verifies its MAC with the live keys of the ring. It returns ErrMalformed or
// ErrForged if that fails.
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
