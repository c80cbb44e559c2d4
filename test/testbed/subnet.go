package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Subnets of the loopback network that test beds may take, as the third byte of 127.0.x.y.
const (
	firstSubnet = 16
	lastSubnet  = 250
)

// Ports on the IP of each VM. They lie under the range that the kernel hands out for outgoing sockets.
const (
	portLock             = 6999
	portData             = 7400
	portControl          = 7401
	portAdmin            = 7402
	portAdvertiseData    = 7410
	portAdvertiseControl = 7411
	portTarget           = 8080
	portTargetControl    = 8081
	portTargetRelay      = 8088
	portFabric           = 7900
	portPlatform         = 8501
	portPlatformRelay    = 8500
)

// Last bytes of the addresses in a subnet.
const (
	hostService  = 1
	hostEdge     = 2
	hostFirstVM  = 10
	hostPlatform = 252
	hostFabric   = 253
	hostLock     = 254
)

// subnet is a part of the loopback network that no other test bed on the machine uses.
type subnet struct {
	number byte
	lock   net.Listener
}

// takeSubnet finds a free subnet. An open listener marks it as taken, also across processes.
func takeSubnet() (*subnet, error) {
	count := lastSubnet - firstSubnet + 1
	start := rand.IntN(count)
	for i := range count {
		number := byte(firstSubnet + (start+i)%count)
		s := &subnet{number: number}
		lock, err := net.Listen("tcp4", s.at(hostLock, portLock).String())
		if err == nil {
			s.lock = lock
			return s, nil
		}
	}
	return nil, errors.New("no free subnet of 127.0.0.0/16 for a test bed")
}

func (s *subnet) ip(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, s.number, host})
}

func (s *subnet) at(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(s.ip(host), port)
}

func (s *subnet) release() { _ = s.lock.Close() }

// String returns the network in CIDR form.
func (s *subnet) String() string { return fmt.Sprintf("127.0.%d.0/24", s.number) }
