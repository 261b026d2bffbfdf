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

// clockDrift bounds how far the rate of a node's clock may be from true.
const clockDrift = 0.005

// cutSlack is what may pass between the deadline of a request and the moment at which the upstream
// no longer works on it.
const cutSlack = 5 * time.Second

// loadService returns the load service; the settings' seeds are its roster.
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
			RequestLifetime: millis(cfg.Limits.DeadlineMillis) + cutSlack, ReportLag: millis(cfg.Load.ReportLagMillis),
			MaxClockDrift: clockDrift,
		},
		Floor: cfg.Load.Floor, RampCompletions: uint64(cfg.Load.RampCompletions), Log: n.Log.Component("load"),
	}
}

// liveMembers returns the nodes that are up and not leaving.
func (n *Node) liveMembers() []sageload.Member {
	var live []sageload.Member
	for _, m := range n.table.Live() {
		if m.Phase != sagemember.Leaving {
			live = append(live, sageload.Member{Name: m.Address, DataCentre: m.DataCentre})
		}
	}
	return live
}

// retryService returns the retry service; each process draws its own jitter.
func (n *Node) retryService() *sageretryd.Service {
	r := n.Settings.Retry
	return &sageretryd.Service{Policy: sageretry.Policy{
		Budget: sageretry.Budget{Ratio: r.Ratio}, MaxAttempts: r.Attempts,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}}
}

// resigner ends this node's terms as home before it says that it leaves. The homes' successors need
// not wait for promises then, and the upstreams are without grants for a shorter time.
type resigner struct {
	Next sageentry.Leaver
	Load *sageloadd.Service
}

// Leave implements [sageentry.Leaver].
func (r *resigner) Leave(now time.Time) time.Time {
	r.Load.Resign()
	return r.Next.Leave(now)
}
