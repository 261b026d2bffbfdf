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

// The layout of claim objects must be the same on every node. docs/design/at_most_once.md explains the values.
const (
	claimBucket = 2 * time.Second
	claimShards = 2
	// maxClaimAhead is the largest tolerated lead of callers' clocks over this node's clock.
	maxClaimAhead = time.Minute
	// claimTimeout limits one commit, and thus a caller's wait while the store is unresponsive.
	claimTimeout = time.Second
	// recordSlack is the time after the latest possible deadline in which an outcome may still be recorded.
	recordSlack = 30 * time.Second
)

// claimService returns the service that claims idempotency keys.
func (n *Node) claimService(store sageobject.Store, peers *sagepeer.Client) *sageclaims.Service {
	cfg := &n.Settings
	return &sageclaims.Service{
		Rules: sageclaim.Rules{
			Bucket: claimBucket, Shards: claimShards, Retention: millis(cfg.Claims.RetentionMillis), MaxAhead: maxClaimAhead,
		},
		Committer: &sageclaim.Committer{Store: store, BatchWindow: millis(cfg.Claims.CollectMillis), CommitTimeout: claimTimeout},
		Store:     store,
		Self:      cfg.Listen.Peer,
		Peers:     n.livePeers,
		Dial: func(addr string) claim.Claims {
			return claim.NewClaimsProtobufClient(peers.URL(addr), peers.HTTP())
		},
		MaxAnswerBytes: cfg.Limits.HeldAnswersBytes,
		SweepAfter:     millis(cfg.Limits.DeadlineMillis) + recordSlack,
		Log:            n.Log.Component("claims"),
		Metrics:        n.metrics,
	}
}

// Parameters of the lease for sending orders. If the holder fails, another node acquires the lease within two terms of
// the last renewal.
const (
	orderLeaseKey = "lease/orders"
	orderTerm     = 10 * time.Second
	orderMargin   = 4 * time.Second
	maxOrderDelay = 10 * time.Second
	orderTimeout  = 5 * time.Second
	// orderCandidates is the number of nodes that try to acquire the lease.
	orderCandidates = 3
)

// orderService returns the service that sends orders to engines.
func (n *Node) orderService(store sageobject.Store, conf sageentry.Config) *sageorders.Service {
	return &sageorders.Service{
		Config: conf,
		Lease: &sagelease.Elector{
			Store: store, Key: orderLeaseKey, Holder: n.Settings.Node.Name + "/" + uuid.NewString(),
			Term: orderTerm, Margin: orderMargin, MaxDeliveryDelay: maxOrderDelay,
		},
		IsCandidate: func() bool { return rank(n.Settings.Listen.Peer, n.livePeers(), orderLeaseKey) < orderCandidates },
		HTTP:        &http.Client{Transport: sagepeer.NewCountingTransport(&n.controlBytes), Timeout: orderTimeout},
		Log:         n.Log.Component("orders"),
	}
}

// rank returns the number of other nodes that precede self in the rendezvous hash order for a duty.
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
