package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/rules"
)

// Limits of the queue of revision notes. With several workers, a peer that does not answer does not delay the fetches
// from other peers.
const (
	maxPendingNotes = 16
	noteWorkers     = 3
)

// revisionNote records that the peer at a control address has announced a revision.
type revisionNote struct {
	revision rules.Revision
	from     netip.AddrPort
}

func revisionOf(message *fleetv1.WatchResponse) rules.Revision {
	return rules.Revision(message.GetRevision())
}

// fetchNotedRevisions fetches the rules for each queued revision note until the context is canceled.
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

// fetchRules fetches the rule changes from one peer and applies them. If they do not apply to the revision in force, it
// fetches the full text.
func (f *Feed) fetchRules(ctx context.Context, from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	epoch := f.confirmation.epoch.Load()
	conn := f.dial(from, peer.MinHandshakeTimeout, nil)
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

// loadInitialState reads the VM list and obtains the first rules. It queries peers before it uses the file of the
// configuration service, because a stale service would put an old file back into force.
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

// fetchRulesFromPeers fetches the rules from peers in the own failure domain and, if none of them answers, from relays
// in other domains. It reports whether a fetch succeeded.
func (f *Feed) fetchRulesFromPeers(ctx context.Context) bool {
	if f.fetchRulesFromAll(ctx, f.choosePeersToQuery(f.cfg.Self.FailureDomain)) > 0 {
		return true
	}
	return f.fetchRulesFromAll(ctx, f.choosePeersToQuery("")) > 0
}

// fetchRulesFromAll fetches the rules from all of the peers concurrently and returns how many fetches succeeded within
// peerQueryTimeout.
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

// Limits of one round of queries to peers.
const (
	peerQueryTimeout = time.Second
	maxQueriedPeers  = 6
)

// choosePeersToQuery returns the relays of the failure domain and a few of its VMs chosen at random. If domain is empty
// it returns relays of all other domains.
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

// sample returns up to n VMs chosen at random.
func sample(vms []fleet.VM, n int) []fleet.VM {
	var sampled []fleet.VM
	for _, i := range rand.Perm(len(vms))[:min(n, len(vms))] {
		sampled = append(sampled, vms[i])
	}
	return sampled
}
