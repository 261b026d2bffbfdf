package sagenode

import (
	"time"

	"sagestand.example/sagestand/internal/sageclaims"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
)

// The layout of claim objects is the same on every node; docs/design/at_most_once.md has the
// measurements behind it.
const (
	claimBucket = 2 * time.Second
	claimShards = 4
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
		Committer: &sageclaim.Committer{Store: store, Window: millis(cfg.Claims.CollectMillis), CommitTimeout: claimTimeout},
		Store:     store,
		Self:      cfg.Listen.Peer,
		Peers:     n.otherSeeds,
		Dial: func(addr string) claim.Claims {
			return claim.NewClaimsProtobufClient(peers.URL(addr), peers.HTTP())
		},
		HeldBytes:   cfg.Limits.HeldAnswersBytes,
		SettleAfter: millis(cfg.Limits.DeadlineMillis) + settleSlack,
		Log:         n.Log.Part("claims"),
		Metrics:     n.metrics,
	}
}
