package sagenode

import (
	"math/rand/v2"
	"time"

	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sageloadd"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sageretryd"
	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sageretry"
)

// maxClockDrift is the largest tolerated relative error of a node's clock rate.
const maxClockDrift = 0.005

// abortSlack is the longest time after a request's deadline for which the upstream may continue to work on it.
const abortSlack = 5 * time.Second

// loadService returns the load service. Its roster consists of the seeds in the settings.
func (n *Node) loadService(conf sageloadd.Config, peers *sagepeer.Client) *sageloadd.Service {
	cfg := &n.Settings
	roster := make([]sageload.Member, len(cfg.Seeds))
	for i, s := range cfg.Seeds {
		roster[i] = sageload.Member{Name: s.Peer, DataCentre: s.DataCentre}
	}
	return &sageloadd.Service{
		Node: cfg.Listen.Peer, Roster: roster, Live: n.liveMembers, Config: conf, Peers: peers,
		Limits: sageload.Limits{
			GrantDuration: millis(cfg.Load.GrantMillis), PromiseDuration: millis(cfg.Load.PromiseMillis),
			RequestLifetime: millis(cfg.Limits.DeadlineMillis) + abortSlack, ReportLag: millis(cfg.Load.ReportLagMillis),
			MaxClockDrift: maxClockDrift,
		},
		Floor: cfg.Load.Floor, RampCompletions: uint64(cfg.Load.RampCompletions), Log: n.Log.Component("load"),
	}
}

// liveMembers returns the live nodes that are not leaving.
func (n *Node) liveMembers() []sageload.Member {
	var live []sageload.Member
	for _, m := range n.table.Live() {
		if m.Phase != sagemember.Leaving {
			live = append(live, sageload.Member{Name: m.Address, DataCentre: m.DataCentre})
		}
	}
	return live
}

// retryService returns the retry service. Its random jitter is seeded differently in each process.
func (n *Node) retryService() *sageretryd.Service {
	r := n.Settings.Retry
	return &sageretryd.Service{Policy: sageretry.Policy{
		Budget: sageretry.Budget{Ratio: r.Ratio}, MaxAttempts: r.Attempts,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}}
}

// resigningLeaver resigns this node's coordinator roles before it announces that the node is leaving. The new
// coordinators then need not wait for promises to expire, which shortens the time without grants.
type resigningLeaver struct {
	Next sageentry.Leaver
	Load *sageloadd.Service
}

// Leave implements [sageentry.Leaver].
func (r *resigningLeaver) Leave(now time.Time) time.Time {
	r.Load.Resign()
	return r.Next.Leave(now)
}
