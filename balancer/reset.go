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

// Rate of stateless resets of a process. At the rate, the callers of 100,000 flows into a failure domain that went out
// learn of it within 5 s of their next packets.
const (
	resetRate  = 20_000 // per second
	resetBurst = 5_000
)

// Sizes of a stateless reset in bytes, RFC 9000 section 10.3.
const (
	tokenBytes    = 16
	minResetBytes = 5 + tokenBytes // the least that a caller takes for a reset
	maxResetBytes = 42
)

// resetMaker derives reset tokens as quic-go does: the first 16 bytes of HMAC-SHA256 over the connection ID.
type resetMaker struct {
	set *keys.Set
	mac hash.Hash
	sum [sha256.Size]byte
}

func (r *resetMaker) token(set *keys.Set, connectionID []byte) []byte {
	if r.set != set {
		r.set = set
		r.mac = hmac.New(sha256.New, set.Reset[:])
	}
	r.mac.Reset()
	r.mac.Write(connectionID)
	return r.mac.Sum(r.sum[:0])[:tokenBytes]
}

// answerReset tells the caller that its flow has ended. A reset is always smaller than the packet that it answers, so
// that two endpoints cannot answer each other for ever. Callers take a reset only for packets with a short header.
func (w *worker) answerReset(p *quicpacket.Packet, packet []byte, caller netip.AddrPort) {
	size := min(len(packet)-1, maxResetBytes)
	if p.Long || size < minResetBytes {
		return
	}
	b := w.balancer
	if !b.resets.Allow() {
		b.link.Counts.Add(link.EventResetLimited, 1)
		return
	}
	reset := w.callers.Header()[:size-tokenBytes]
	for i := range reset {
		reset[i] = byte(rand.Uint32())
	}
	reset[0] = reset[0]&0x3f | 0x40
	reset = append(reset, w.reset.token(w.codecs.Keys, p.Destination[:connid.Len])...)
	w.callers.Add(caller, reset, nil)
}
