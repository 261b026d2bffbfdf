package sagemesh

import "sagestand.example/sagestand/pkg/sagechain"

// How many facts on prompt parts are told at a time.
const (
	// mostPassed is how many facts that requests showed one datagram carries at the most, 7 KB.
	mostPassed = 400
	// mostListed is how many listed parts one datagram of a node's own round carries at the most, 5 KB.
	mostListed = 1000
	// mostListedPassed is the same between hubs and their nodes, 40 KB.
	mostListedPassed = 8000
	// mostListedKept is how many listed parts wait to be passed on: what a node remembers.
	mostListedKept = 64 << 10
	// listedRoom is how many bytes of the greatest datagram counts and listed parts may fill together.
	listedRoom = 45 << 10
	// listedBytes is what a listed part takes on the wire, with its part of the upstream's name.
	listedBytes = 5
	// countBytes is what a count by upstream takes on the wire.
	countBytes = 18
	// listedShare is the part of a hub's link that passing listed parts on may take.
	listedShare = 0.4
	// usualLinkMbps is taken for a link whose width isn't known.
	usualLinkMbps = 100
)

// news are facts on prompt parts that wait to be told: what requests showed, and what upstreams listed.
type news struct {
	held   backlog[uint64]
	listed backlog[sagechain.PartHash]
}

func (n *news) add(held map[string][]uint64, listed map[string][]sagechain.PartHash) {
	n.held.add(held, mostPassed)
	n.listed.add(listed, mostListedKept)
}

// put moves waiting facts into a heartbeat, up to some listed ones.
func (n *news) put(h *Heartbeat, listed int) {
	h.Held, h.Listed = n.held.take(mostPassed), n.listed.take(listed)
}

// gatherNews takes over the facts that nobody was told: for the next round to all, and for hubs. Listed parts
// go by one way only, by hubs if the fleet has them.
//
// It guards against lists that are lost where all nodes of a large fleet start together: told by each node to
// all others at once, some hundred kilobytes come at each small link in the same moment.
func (s *Service) gatherNews() {
	h := new(Heartbeat)
	s.FillUpdates(h)
	if s.Interval() == shortest {
		s.forAll.add(h.Held, h.Listed)
		return
	}
	s.forAll.add(h.Held, nil)
	s.forHub.add(h.Held, h.Listed)
}

// listedFor returns how many listed parts a hub passes on at a time to each of some nodes, beside some counts.
func (s *Service) listedFor(nodes, counts int) int {
	link := s.LinkMbps
	if link == 0 {
		link = usualLinkMbps
	}
	const bytesPerMbit = 1e6 / 8
	bytes := listedShare * float64(link) * bytesPerMbit * shortest.Seconds() / float64(max(1, nodes))
	room := listedRoom - countBytes*counts
	return min(mostListedPassed, max(0, min(int(bytes), room)/listedBytes))
}
