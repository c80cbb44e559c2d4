package quicpacket_test

import (
	"testing"

	"github.com/cowslipward/cowslipward/internal/quicpacket"
)

// Guards against a panic of the parser on an arbitrary datagram.
func FuzzParse(f *testing.F) {
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255})
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 20}, make([]byte, 20)...))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		p, ok := quicpacket.Parse(datagram)
		if ok && len(p.Destination) > len(datagram) {
			t.Fatal("connection ID exceeds the datagram")
		}
	})
}
