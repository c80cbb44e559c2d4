package link

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// Accept verifies a packet and parses its header into h. It processes control packets itself. For a data
// packet it returns the body, which is the caller's datagram, and true. It counts each rejected packet by
// reason. complete is false for a packet that was truncated on receipt.
func (l *Link) Accept(packet []byte, complete bool, h *wire.Header, now time.Duration) ([]byte, bool) {
	if !complete || len(packet) > wire.MaxPacket {
		l.Counts.Drop(DropOversized)
		return nil, false
	}
	body, err := l.Codecs().Wire.Parse(packet, h)
	if err != nil {
		l.Counts.Drop(dropReason(err))
		return nil, false
	}
	if h.Sender.Port() == 0 {
		l.Counts.Drop(DropMalformed)
		return nil, false
	}
	peer := l.getOrAddPeer(h.Sender, now)
	if peer == nil {
		l.Counts.Drop(DropTooManyPeers)
		return nil, false
	}
	if !peer.recordSequence(h) {
		l.Counts.Drop(DropReplayed)
		return nil, false
	}
	peer.lastReceived.Store(int64(now))
	l.compareRevisions(peer, h, now)
	if h.Kind.IsData() {
		return body, true
	}
	l.handleControl(h, body)
	return nil, false
}

func dropReason(err error) Reason {
	switch {
	case errors.Is(err, wire.ErrUnknownKey):
		return DropUnknownKey
	case errors.Is(err, wire.ErrMAC):
		return DropForged
	default:
		return DropMalformed
	}
}

func (l *Link) handleControl(h *wire.Header, body []byte) {
	switch h.Kind {
	case wire.Probe:
		l.sendBestEffort(wire.ProbeAck, h.Sender, body)
	case wire.RevisionNotice:
		l.handleRevisionNotice(h, body)
	}
	if handler := l.handlers[h.Kind].Load(); handler != nil {
		(*handler)(h, body)
	}
}

// sendBestEffort sends a control packet whose loss the protocol tolerates; a failure is only counted. Nothing
// is sent to a VM in a domain that is out: a process that resumes after a pause still has packets from that
// domain in its socket buffer and would otherwise answer them.
func (l *Link) sendBestEffort(kind wire.Kind, to netip.AddrPort, body []byte) {
	if inDomainOut(l.Source.View(), to) {
		l.Counts.Drop(DropDomainOut)
		return
	}
	if err := l.Send(kind, to, body); err != nil {
		l.Counts.Drop(DropSendFailed)
	}
}

// inDomainOut reports whether the data address belongs to a VM in a failure domain that is out.
func inDomainOut(view *fleet.View, data netip.AddrPort) bool {
	if target := view.TargetByAddress(data); target != nil {
		return view.DomainOut(target.Domain)
	}
	for _, record := range view.Balancers() {
		if record.VM.Data == data {
			domain := view.Rules().DomainByName(record.VM.FailureDomain)
			return domain != nil && domain.Out
		}
	}
	return false
}

// Minimum intervals per peer between packets about revisions.
const (
	noticePeriod  = 100 * time.Millisecond
	requestPeriod = 200 * time.Millisecond
)

// compareRevisions sends a revision notice to a sender with an older revision, and requests the newer
// revision if the sender has one. Both are rate limited per peer.
func (l *Link) compareRevisions(peer *Peer, h *wire.Header, now time.Duration) {
	own := l.Source.View().Rules().Revision
	switch {
	case h.Revision < own:
		if allowPeriodic(&peer.lastNotice, now, noticePeriod) {
			l.sendBestEffort(wire.RevisionNotice, h.Sender, appendAddress(nil, l.Control))
		}
	case h.Revision > own && h.Kind != wire.RevisionNotice:
		if allowPeriodic(&peer.lastRequest, now, requestPeriod) {
			l.requestNewerRevision(h)
		}
	}
}

// requestNewerRevision starts fetching a newer revision from the sender of the packet. If the view has no
// control address for the sender, it sends a probe: the older revision in the probe makes the sender reply
// with a notice that contains the address.
func (l *Link) requestNewerRevision(h *wire.Header) {
	if target := l.Source.View().TargetByAddress(h.Sender); target != nil && target.VM.Control.IsValid() {
		l.Source.ReportPeerRevision(h.Revision, target.VM.Control)
		return
	}
	if h.Kind != wire.Probe && h.Kind != wire.ProbeAck {
		l.sendBestEffort(wire.Probe, h.Sender, nil)
	}
}

func (l *Link) handleRevisionNotice(h *wire.Header, body []byte) {
	control, ok := parseAddress(body)
	if !ok {
		l.Counts.Drop(DropMalformed)
		return
	}
	if h.Revision > l.Source.View().Rules().Revision {
		l.Source.ReportPeerRevision(h.Revision, control)
	}
}

// addressBytes is the length of an encoded address: 4 bytes of IPv4 address and 2 bytes of port, big-endian.
const addressBytes = 6

func appendAddress(dst []byte, a netip.AddrPort) []byte {
	ip := [4]byte{}
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	dst = append(dst, ip[:]...)
	return append(dst, byte(a.Port()>>8), byte(a.Port()))
}

func parseAddress(b []byte) (netip.AddrPort, bool) {
	if len(b) != addressBytes {
		return netip.AddrPort{}, false
	}
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), uint16(b[4])<<8|uint16(b[5]))
	return a, a.Port() != 0 && !a.Addr().IsUnspecified()
}

// Revision returns the revision in force at this endpoint.
func (l *Link) Revision() rules.Revision { return l.Source.View().Rules().Revision }
