package sagelocator

import (
	"time"

	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagewire"
)

// retryDelay is how long a refused caller should wait before it calls this node again.
const retryDelay = time.Second

// Members is the node's view of the members of the fleet.
type Members interface {
	Live() []sagemember.Node
	Fresh() bool
}

// Config is the part of the configuration that the service uses.
type Config interface {
	State() *sageconfig.State
	Revision() uint64
}

// Service is the service "locate". Its fields must be set before first use.
type Service struct {
	Members Members
	Config  Config
	Ranker  sagelocate.Ranker
	// AnswerTTL is how long callers may keep an answer.
	AnswerTTL time.Duration
}

// Locate ranks the live VMs that serve and are not leaving. VMs in a data centre that is out of service
// are used only if there are no others.
//
// After the process was paused, Locate refuses until the member view is fresh: the answer could name
// VMs that left during the pause and would refuse the callers.
func (s *Service) Locate(now time.Time, q sagelocate.Query) (sagelocate.Answer, *sagewire.Refusal) {
	if !s.Members.Fresh() {
		return sagelocate.Answer{}, sagewire.Refuse(sagewire.ReasonStale, "this VM has just resumed; ask another", now.Add(retryDelay))
	}
	inService, outOfService := s.candidates()
	if len(inService) == 0 {
		inService = outOfService
	}
	if len(inService) == 0 {
		return sagelocate.Answer{}, sagewire.Refuse(sagewire.ReasonLeaving, "no VM is known that stays; ask another", now.Add(retryDelay))
	}
	return sagelocate.Answer{
		Addresses:  s.Ranker.Rank(q, inService),
		ValidUntil: now.Add(s.AnswerTTL),
		Revision:   s.Config.Revision(),
	}, nil
}

// candidates returns the VMs that an answer may name, divided by whether their data centre is in
// service.
func (s *Service) candidates() (inService, outOfService []sagelocate.VM) {
	state := s.Config.State()
	for _, n := range s.servingNodes() {
		vm := sagelocate.VM{Address: n.Entry, DataCentre: n.DataCentre, Load: n.Load, Suspect: n.State == sagemember.Suspect}
		if state != nil {
			if dc, ok := state.DataCentre(n.DataCentre); ok && !dc.InService {
				outOfService = append(outOfService, vm)
				continue
			}
		}
		inService = append(inService, vm)
	}
	return inService, outOfService
}

// servingNodes returns the serving nodes, one for each entry address. After a VM was replaced, its old
// incarnation may still be in the table as suspected at the same address. If that were used, the VM
// would rank as suspected and its callers would be sent elsewhere.
func (s *Service) servingNodes() []sagemember.Node {
	var list []sagemember.Node
	indexByEntry := make(map[string]int)
	for _, n := range s.Members.Live() {
		if n.Phase != sagemember.Serving || n.Entry == "" {
			continue
		}
		i, ok := indexByEntry[n.Entry]
		if !ok {
			indexByEntry[n.Entry] = len(list)
			list = append(list, n)
		} else if list[i].State == sagemember.Suspect {
			list[i] = n
		}
	}
	return list
}
