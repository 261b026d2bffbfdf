package sagelocator

import (
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagewire"
)

// retryIn is when a caller that is refused may ask this node again.
const retryIn = time.Second

// Members is the view of the nodes.
type Members interface {
	Live() []sagemember.Node
	Fresh() bool
}

// Config is what the service needs of the configuration.
type Config interface {
	State() *sageconfig.State
	Revision() uint64
}

// Service is the service "locate". Its fields are set before first use.
type Service struct {
	Members Members
	Config  Config
	Ranker  sagelocate.Ranker
	// Valid is how long an answer may be kept.
	AnswerTTL time.Duration
}

// Locate ranks the live VMs that serve and are not leaving. VMs of a data centre that is out of
// service are named only when there are no others.
//
// A process that was paused refuses until its view is fresh: its answer could name VMs that left
// during the pause, whose callers would be turned away.
func (s *Service) Locate(now time.Time, q sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal) {
	if !s.Members.Fresh() {
		return sagelocate.Answer{}, sagewire.Refuse(sagewire.ReasonStale, "this VM has just resumed; ask another", now.Add(retryIn))
	}
	in, out := s.split()
	if len(in) == 0 {
		in = out
	}
	if len(in) == 0 {
		return sagelocate.Answer{}, sagewire.Refuse(sagewire.ReasonLeaving, "no VM is known that stays; ask another", now.Add(retryIn))
	}
	return sagelocate.Answer{
		Addresses:  s.Ranker.Rank(q, in),
		ValidUntil: now.Add(s.AnswerTTL),
		Revision:   s.Config.Revision(),
	}, nil
}

// split returns the VMs that may be named, by whether their data centre is in service.
func (s *Service) split() (in, out []sagelocate.VM) {
	state := s.Config.State()
	for _, n := range s.nodes() {
		vm := sagelocate.VM{Address: n.Entry, DataCentre: n.DataCentre, Load: n.Load, Suspect: n.State == sagemember.Suspect}
		if state != nil {
			if dc, ok := state.DataCentre(n.DataCentre); ok && !dc.InService {
				out = append(out, vm)
				continue
			}
		}
		in = append(in, vm)
	}
	return in, out
}

// nodes returns the nodes that serve, one for each entry address. After a VM was replaced, its old
// incarnation may still be suspected at the address; taken for the VM, it would send callers elsewhere.
func (s *Service) nodes() []sagemember.Node {
	var list []sagemember.Node
	at := make(map[string]int)
	for _, n := range s.Members.Live() {
		if n.Phase != sagemember.Serving || n.Entry == "" {
			continue
		}
		i, ok := at[n.Entry]
		if !ok {
			at[n.Entry] = len(list)
			list = append(list, n)
		} else if list[i].State == sagemember.Suspect {
			list[i] = n
		}
	}
	return list
}
