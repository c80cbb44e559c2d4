package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/rules"
)

// Bounds of the revision notes. Several workers keep a peer that does not answer from delaying the others' notes.
const (
	maxPendingNotes = 16
	noteWorkers     = 3
)

// note says that the peer at the control address holds a revision.
type revisionNote struct {
	revision rules.Revision
	from     netip.AddrPort
}

func revisionOf(message *fleetv1.WatchResponse) rules.Revision {
	return rules.Revision(message.GetRevision())
}

// fetchNoted follows revision notes.
func (f *Feed) fetchNotedRevisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-f.revisionNotes:
			if !f.rules.isNewer(n.revision) || !f.mayWrite(f.domainOf(n.from)) {
				continue
			}
			if err := f.fetchRules(ctx, n.from); err != nil {
				f.log.Warn("rules_fetch_failed", "from", n.from, "revision", n.revision, "error", err)
			}
		}
	}
}

// fetchRules asks one peer for its rules and puts them into force when they are news.
func (f *Feed) fetchRules(ctx context.Context, from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	epoch := f.confirmation.epoch.Load()
	conn := f.dial(from, nil)
	defer conn.close()
	revision, hash := f.rules.revisionAndHash()
	response, err := conn.rpc.GetRules(ctx, connect.NewRequest(&fleetv1.GetRulesRequest{
		Revision: uint64(revision), RulesHash: hash,
	}))
	if err != nil {
		return err
	}
	if f.rules.applyChanges(response.Msg.GetRules(), from.String()) == nil {
		f.confirm(epoch)
		return nil
	}
	response, err = conn.rpc.GetRules(ctx, connect.NewRequest(&fleetv1.GetRulesRequest{}))
	if err != nil {
		return err
	}
	if err := f.rules.applyChanges(response.Msg.GetRules(), from.String()); err != nil {
		return err
	}
	f.confirm(epoch)
	return nil
}

// start learns the VM list and the rules. Peers are asked before the file of the configuration service is taken, since
// a stale service would bring an old file back.
func (f *Feed) loadInitialState(ctx context.Context) error {
	var retry backoff
	for ctx.Err() == nil {
		if f.readVMList(ctx, "") && f.fetchRulesFromPeers(ctx) {
			return nil
		}
		if f.rules.current() != nil || f.readRules(ctx) {
			return nil
		}
		retry.wait(ctx)
	}
	return ctx.Err()
}

// askPeers asks peers of the own failure domain for their rules, then those of other domains. It reports whether one
// answered.
func (f *Feed) fetchRulesFromPeers(ctx context.Context) bool {
	if f.fetchRulesFromAll(ctx, f.choosePeersToQuery(f.cfg.Self.FailureDomain)) > 0 {
		return true
	}
	return f.fetchRulesFromAll(ctx, f.choosePeersToQuery("")) > 0
}

// askAll returns how many of the peers answered.
func (f *Feed) fetchRulesFromAll(ctx context.Context, peers []fleet.VM) int {
	results := make(chan error)
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	for i := range peers {
		go func(control netip.AddrPort) {
			err := f.fetchRules(ctx, control)
			select {
			case results <- err:
			case <-ctx.Done():
			}
		}(peers[i].Control)
	}
	answered := 0
	for range peers {
		select {
		case err := <-results:
			if err == nil {
				answered++
			}
		case <-ctx.Done():
		}
	}
	return answered
}

// Bounds of the questions at start.
const (
	peerQueryTimeout = time.Second
	maxQueriedPeers  = 6
)

// peersToAsk returns the relays of the failure domain and a few of its other VMs at random, or the relays of the other
// domains where domain is empty.
func (f *Feed) choosePeersToQuery(domain string) []fleet.VM {
	domains := f.candidates()
	var peers []fleet.VM
	if domain != "" {
		peers = append(chooseRelays(domains[domain]), sample(domains[domain].ranked, maxQueriedPeers)...)
	} else {
		delete(domains, f.cfg.Self.FailureDomain)
		for _, c := range domains {
			peers = append(peers, chooseRelays(c)...)
		}
	}
	seen := map[string]bool{f.cfg.Self.Name: true}
	selected := peers[:0]
	for _, vm := range peers {
		if !seen[vm.Name] && f.mayReach(vm.FailureDomain) && len(selected) < maxQueriedPeers {
			seen[vm.Name] = true
			selected = append(selected, vm)
		}
	}
	return selected
}

// sample returns up to n of the VMs at random.
func sample(vms []fleet.VM, n int) []fleet.VM {
	var sampled []fleet.VM
	for _, i := range rand.Perm(len(vms))[:min(n, len(vms))] {
		sampled = append(sampled, vms[i])
	}
	return sampled
}
