package sagenode

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"sagestand.example/sagestand/internal/sageclaims"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sageorders"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sagelease"
	"sagestand.example/sagestand/pkg/sageobject"
)

// The layout of claim objects is the same on every node; docs/design/at_most_once.md has the
// measurements behind it.
const (
	claimBucket = 2 * time.Second
	claimShards = 2
	// claimAhead is how far callers' clocks may be ahead of this node's.
	claimAhead = time.Minute
	// claimTimeout bounds one commit, and with it how long a caller waits for a store that hangs.
	claimTimeout = time.Second
	// settleSlack is how long after the latest deadline an outcome may still be recorded.
	settleSlack = 30 * time.Second
)

// claimService makes the service that claims idempotency keys.
func (n *Node) claimService(store sageobject.Store, peers *sagepeer.Client) *sageclaims.Service {
	cfg := &n.Settings
	return &sageclaims.Service{
		Rules: sageclaim.Rules{
			Bucket: claimBucket, Shards: claimShards, Retention: millis(cfg.Claims.RetentionMillis), MaxAhead: claimAhead,
		},
		Committer: &sageclaim.Committer{Store: store, BatchWindow: millis(cfg.Claims.CollectMillis), CommitTimeout: claimTimeout},
		Store:     store,
		Self:      cfg.Listen.Peer,
		Peers:     n.livePeers,
		Dial: func(addr string) claim.Claims {
			return claim.NewClaimsProtobufClient(peers.URL(addr), peers.HTTP())
		},
		MaxAnswerBytes: cfg.Limits.HeldAnswersBytes,
		SweepAfter:     millis(cfg.Limits.DeadlineMillis) + settleSlack,
		Log:            n.Log.Component("claims"),
		Metrics:        n.metrics,
	}
}

// The lease on orders. A successor takes over within two terms of its predecessor's last renewal.
const (
	ordersLease  = "lease/orders"
	orderTerm    = 10 * time.Second
	orderMargin  = 4 * time.Second
	orderDelay   = 10 * time.Second
	orderTimeout = 5 * time.Second
	// orderCandidates is how many nodes try for the lease at a time.
	orderCandidates = 3
)

// orderService makes the service that applies orders to engines.
func (n *Node) orderService(store sageobject.Store, conf sageentry.Config) *sageorders.Service {
	return &sageorders.Service{
		Config: conf,
		Lease: &sagelease.Elector{
			Store: store, Key: ordersLease, Holder: n.Settings.Node.Name + "/" + uuid.NewString(),
			Term: orderTerm, Margin: orderMargin, MaxDeliveryDelay: orderDelay,
		},
		IsCandidate: func() bool { return rank(n.Settings.Listen.Peer, n.livePeers(), ordersLease) < orderCandidates },
		HTTP:        &http.Client{Timeout: orderTimeout},
		Log:         n.Log.Component("orders"),
	}
}

// rank returns how many of the others come before self in the rendezvous order of a duty.
func rank(self string, others []string, duty string) int {
	weight := func(addr string) uint64 { return xxhash.Sum64String(addr + "\x00" + duty) }
	n := 0
	for _, o := range others {
		if weight(o) > weight(self) {
			n++
		}
	}
	return n
}
