// Package connid encodes and decodes routable QUIC connection IDs. The agent that accepts a connection encodes its own
// address into the connection ID, so that any balancer can route a packet to the agent without per-connection state.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
)

// Len is the length of a connection ID in bytes: the key ID and one AES block.
const Len = 17

// MaxCounter is the largest value of ID.Counter.
const MaxCounter = 1<<24 - 1

// aesKeyLen is the length of an AES-128 key in bytes. The secrets of a key ring are longer; their first bytes are used.
const aesKeyLen = 16

// checkValue is a constant at the end of the plaintext. A random connection ID passes the check with a probability of
// 1 in 65,536.
const checkValue = 0xC0A5

// Offsets in the plaintext block in bytes.
const (
	offsetPort        = 4
	offsetService     = 6
	offsetDomain      = 8
	offsetIncarnation = 9
	offsetCounter     = 11
	offsetCheck       = 14
)

// ID holds the fields of a routable connection ID.
type ID struct {
	Agent       netip.AddrPort // advertised tunnel address of the agent, IPv4
	Service     rules.ServiceID
	Domain      rules.DomainID
	Incarnation uint16
	Counter     uint32 // unique per agent and incarnation, at most MaxCounter
}

// Plausible reports whether packets may be sent to the agent of the ID: the agent has a unicast IPv4 address and a
// non-zero port, and the service and the failure domain are not zero.
func (id *ID) Plausible() bool {
	addr := id.Agent.Addr()
	if !addr.Is4() || addr.IsUnspecified() || addr.IsMulticast() || addr.As4()[0] >= 224 {
		return false
	}
	return id.Agent.Port() != 0 && id.Service != 0 && id.Domain != 0
}

// Codec encrypts and decrypts IDs with the keys of a ring. It is immutable and safe for concurrent use.
type Codec struct {
	blocks [256]cipher.Block // by key ID, nil if the ring has no such key
	active uint8
}

// blockPool holds buffers for the cipher. A buffer on the stack would escape through the cipher.Block interface, at the
// cost of an allocation per packet.
var blockPool = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

// NewCodec returns a codec for the ring. It encrypts with the active key and decrypts with any key of the ring.
func NewCodec(ring keys.Ring) (*Codec, error) {
	c := &Codec{active: ring.Active().ID}
	for _, key := range ring.Live() {
		block, err := aes.NewCipher(key.Secret[:aesKeyLen])
		if err != nil {
			return nil, fmt.Errorf("connection ID key %d: %w", key.ID, err)
		}
		c.blocks[key.ID] = block
	}
	return c, nil
}

// Encode encrypts the ID into the first Len bytes of dst.
func (c *Codec) Encode(dst []byte, id ID) {
	plain := blockPool.Get().(*[aes.BlockSize]byte)
	ip := id.Agent.Addr().As4()
	copy(plain[:], ip[:])
	binary.BigEndian.PutUint16(plain[offsetPort:], id.Agent.Port())
	binary.BigEndian.PutUint16(plain[offsetService:], uint16(id.Service))
	plain[offsetDomain] = uint8(id.Domain)
	binary.BigEndian.PutUint16(plain[offsetIncarnation:], id.Incarnation)
	plain[offsetCounter] = byte(id.Counter >> 16)
	binary.BigEndian.PutUint16(plain[offsetCounter+1:], uint16(id.Counter))
	binary.BigEndian.PutUint16(plain[offsetCheck:], checkValue)
	dst[0] = c.active
	c.blocks[c.active].Encrypt(dst[1:Len], plain[:])
	blockPool.Put(plain)
}

// Decode decrypts an ID from the first Len bytes of b. It returns false if b is too short, the key is not in the
// ring or the check value is wrong, as in the random connection ID that a caller chooses for its first packets.
func (c *Codec) Decode(b []byte) (ID, bool) {
	if len(b) < Len || c.blocks[b[0]] == nil {
		return ID{}, false
	}
	plain := blockPool.Get().(*[aes.BlockSize]byte)
	defer blockPool.Put(plain)
	c.blocks[b[0]].Decrypt(plain[:], b[1:Len])
	if binary.BigEndian.Uint16(plain[offsetCheck:]) != checkValue {
		return ID{}, false
	}
	ip := netip.AddrFrom4([4]byte(plain[:offsetPort]))
	return ID{
		Agent:       netip.AddrPortFrom(ip, binary.BigEndian.Uint16(plain[offsetPort:])),
		Service:     rules.ServiceID(binary.BigEndian.Uint16(plain[offsetService:])),
		Domain:      rules.DomainID(plain[offsetDomain]),
		Incarnation: binary.BigEndian.Uint16(plain[offsetIncarnation:]),
		Counter:     uint32(plain[offsetCounter])<<16 | uint32(binary.BigEndian.Uint16(plain[offsetCounter+1:])),
	}, true
}
