package link

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/wire"
)

// Accept verifies a packet. It answers control packets itself and reports true for data packets, whose body is the
// caller's datagram. Every refused packet is counted by its reason.
func (l *Link) Accept(packet []byte, whole bool, h *wire.Header, now time.Duration) ([]byte, bool) {
	if !whole || len(packet) > wire.MaxPacket {
		l.Counts.Drop(DropOversized)
		return nil, false
	}
	body, err := l.Codecs().Wire.Parse(packet, h)
	if err != nil {
		l.Counts.Drop(parseFault(err))
		return nil, false
	}
	if h.Sender.Port() == 0 {
		l.Counts.Drop(DropMalformed)
		return nil, false
	}
	peer := l.peer(h.Sender, now)
	if peer == nil {
		l.Counts.Drop(DropTooManyPeers)
		return nil, false
	}
	if !peer.fresh(h) {
		l.Counts.Drop(DropReplayed)
		return nil, false
	}
	peer.heard.Store(int64(now))
	l.compareRevisions(peer, h, now)
	if h.Kind.IsData() {
		return body, true
	}
	l.control(h, body)
	return nil, false
}

func parseFault(err error) Reason {
	switch {
	case errors.Is(err, wire.ErrUnknownKey):
		return DropUnknownKey
	case errors.Is(err, wire.ErrMAC):
		return DropForged
	default:
		return DropMalformed
	}
}

func (l *Link) control(h *wire.Header, body []byte) {
	switch h.Kind {
	case wire.Probe:
		l.try(wire.ProbeAck, h.Sender, body)
	case wire.RevisionNotice:
		l.takeNotice(h, body)
	}
	if handler := l.handlers[h.Kind].Load(); handler != nil {
		(*handler)(h, body)
	}
}

// try sends a control packet whose loss the protocol bears. A VM in a domain that is out gets no answer: a process that
// wakes from a pause still has packets of that domain in its socket.
func (l *Link) try(kind wire.Kind, to netip.AddrPort, body []byte) {
	if isOut(l.Source.View(), to) {
		l.Counts.Drop(DropDomainOut)
		return
	}
	if err := l.Send(kind, to, body); err != nil {
		l.Counts.Drop(DropSendFailed)
	}
}

// isOut reports whether the tunnel address belongs to a VM in a domain that is out.
func isOut(view *fleet.View, data netip.AddrPort) bool {
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

// Bounds of the traffic about revisions, per peer.
const (
	noticePeriod = 100 * time.Millisecond
	askPeriod    = 200 * time.Millisecond
)

// compareRevisions tells a sender of an older revision where to fetch the newer one, and learns of newer ones.
func (l *Link) compareRevisions(peer *Peer, h *wire.Header, now time.Duration) {
	own := l.Source.View().Rules().Revision
	switch {
	case h.Revision < own:
		if due(&peer.noticed, now, noticePeriod) {
			l.try(wire.RevisionNotice, h.Sender, appendAddress(nil, l.Control))
		}
	case h.Revision > own && h.Kind != wire.RevisionNotice:
		if due(&peer.asked, now, askPeriod) {
			l.askNewer(h)
		}
	}
}

// askNewer fetches a newer revision from its sender. When the view does not know the sender's control address, a probe
// with the old revision makes the sender answer with a notice that holds it.
func (l *Link) askNewer(h *wire.Header) {
	if target := l.Source.View().TargetByAddress(h.Sender); target != nil && target.VM.Control.IsValid() {
		l.Source.ReportPeerRevision(h.Revision, target.VM.Control)
		return
	}
	if h.Kind != wire.Probe && h.Kind != wire.ProbeAck {
		l.try(wire.Probe, h.Sender, nil)
	}
}

func (l *Link) takeNotice(h *wire.Header, body []byte) {
	control, ok := parseAddress(body)
	if !ok {
		l.Counts.Drop(DropMalformed)
		return
	}
	if h.Revision > l.Source.View().Rules().Revision {
		l.Source.ReportPeerRevision(h.Revision, control)
	}
}

// addressBytes is the length of an address in a body: IPv4 and port.
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

// Revision returns the revision in force at this end.
func (l *Link) Revision() rules.Revision { return l.Source.View().Rules().Revision }
