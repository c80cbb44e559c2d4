package balancer

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"math/rand/v2"
	"net/netip"

	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/quicpacket"
	"github.com/cowslipward/cowslipward/keys"
)

// Rate limit of the stateless resets of a process. At this rate, the callers of 100,000 flows to a failure domain that
// goes out receive a reset within 5 s of their next packets.
const (
	resetRate  = 20_000 // per second
	resetBurst = 5_000
)

// Sizes of a stateless reset in bytes, RFC 9000 section 10.3.
const (
	tokenBytes    = 16
	minResetBytes = 5 + tokenBytes // smallest datagram that a caller accepts as a reset
	maxResetBytes = 42
)

// tokenDeriver derives reset tokens as quic-go does: the first 16 bytes of HMAC-SHA256 over the connection ID.
type tokenDeriver struct {
	set *keys.Set
	mac hash.Hash
	sum [sha256.Size]byte
}

func (d *tokenDeriver) token(set *keys.Set, connectionID []byte) []byte {
	if d.set != set {
		d.set = set
		d.mac = hmac.New(sha256.New, set.Reset[:])
	}
	d.mac.Reset()
	d.mac.Write(connectionID)
	return d.mac.Sum(d.sum[:0])[:tokenBytes]
}

// sendReset sends the caller a stateless reset, because its flow has ended. A reset is always smaller than the
// packet that triggers it, so that two endpoints cannot send each other resets forever. Callers accept a reset
// only in response to packets with a short header.
func (w *worker) sendReset(p *quicpacket.Packet, packet []byte, caller netip.AddrPort) {
	size := min(len(packet)-1, maxResetBytes)
	if p.Long || size < minResetBytes {
		return
	}
	b := w.balancer
	if !b.resetLimiter.Allow() {
		b.link.Counts.Add(link.EventResetLimited, 1)
		return
	}
	reset := w.callerWriter.Header()[:size-tokenBytes]
	for i := range reset {
		reset[i] = byte(rand.Uint32())
	}
	reset[0] = reset[0]&0x3f | 0x40
	reset = append(reset, w.resetTokens.token(w.codecs.Keys, p.Destination[:connid.Len])...)
	w.callerWriter.Add(caller, reset, nil)
}
