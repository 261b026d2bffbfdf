package sagesim

import (
	"context"
	"net/netip"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sageclock"
)

// The functions of this file connect the mesh and the copies as package sagerouter does.

const (
	coveredProofDelay   = 400 * time.Millisecond
	maxConcurrentCopies = 4
	firstListingSpread  = 2 * time.Second
)

func (n *node) handleHeartbeat(h *sagemesh.Heartbeat, stamp sageclock.Instant) {
	if stamp == 0 {
		return
	}
	fetchNow := h.DataCentre == n.dataCentre || n.mesh.FetchesForDataCentre()
	for kind, p := range h.Copies {
		n.copies[kind].HandlePosition(n.fleet.ctx, h.Address, p, stamp, fetchNow)
	}
}

func (n *node) contentChanged(fromStore bool) {
	if fromStore || n.mesh.FetchesForDataCentre() {
		n.mesh.TriggerHeartbeats(fromStore)
	}
}

func (n *node) peerProofDelay() time.Duration {
	if n.mesh.IsStandby() {
		return 0
	}
	return max(0, n.mesh.PropagationDelay()-coveredProofDelay)
}

// configureStart sets when the node lists the kinds for the first time.
func (n *node) configureStart() {}

// peers fetches copies from other nodes. It implements [sagefollow.Peers].
type peers struct{ node *node }

func (p peers) Fetch(ctx context.Context, address, kind string, since uint64) (sagefollow.Delta, error) {
	from := p.node.fleet.byAddress[address]
	time.Sleep(2 * oneWayLatency)
	if from.down.Load() {
		<-ctx.Done()
		return sagefollow.Delta{}, ctx.Err()
	}
	if !from.serving.TryAcquire(1) {
		p.node.mu.Lock()
		p.node.rejected++
		p.node.mu.Unlock()
		return sagefollow.Delta{}, errTooMany
	}
	d := from.copies[kind].DeltaSince(since)
	from.cpu.run(time.Duration(len(d.Changes)+1) * (objectEncodeTime + compressTime))
	transfer(from, p.node, (len(d.Changes)+1)*copiedBytes)
	from.serving.Release(1)
	p.node.cpu.run(time.Duration(len(d.Changes)+1) * objectDecodeTime)
	p.node.mu.Lock()
	p.node.fetched++
	p.node.mu.Unlock()
	return d, ctx.Err()
}

func mustAddrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
