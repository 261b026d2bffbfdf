package sagemesh

import "sagestand.example/sagestand/pkg/sagechain"

// Limits on the cached prompt parts sent at a time.
const (
	// maxHeldPerDatagram is the largest number of parts observed in requests in one datagram, 7 KB.
	maxHeldPerDatagram = 400
	// maxListedPerDatagram is the largest number of listed parts in a datagram of a broadcast round, 5 KB.
	maxListedPerDatagram = 1000
	// maxListedForwarded is the largest number of listed parts in a datagram to or from an aggregator, 40 KB.
	maxListedForwarded = 8000
	// maxListedQueued is the largest number of listed parts that wait to be sent, equal to what a node stores.
	maxListedQueued = 64 << 10
	// countsAndListedBytes is the space for counts and listed parts in the largest datagram.
	countsAndListedBytes = 45 << 10
	// bytesPerListed is the encoded size of a listed part, including its share of the upstream's name.
	bytesPerListed = 5
	// bytesPerCount is the encoded size of a count with the upstream's name.
	bytesPerCount = 18
	// listedLinkShare is the fraction of an aggregator's link that listed parts may use.
	listedLinkShare = 0.4
	// defaultLinkMbps is assumed for a link of unknown bandwidth.
	defaultLinkMbps = 100
)

// cacheUpdates are cached prompt parts that wait to be sent: those observed in requests, and those that upstreams
// listed.
type cacheUpdates struct {
	held   backlog[uint64]
	listed backlog[sagechain.PartHash]
}

func (u *cacheUpdates) add(held map[string][]uint64, listed map[string][]sagechain.PartHash) {
	u.held.add(held, maxHeldPerDatagram)
	u.listed.add(listed, maxListedQueued)
}

// moveTo moves waiting parts into a heartbeat, at most maxListed of the listed ones.
func (u *cacheUpdates) moveTo(h *Heartbeat, maxListed int) {
	h.Held, h.Listed = u.held.take(maxHeldPerDatagram), u.listed.take(maxListed)
}

// collectUpdates queues the cached parts that have not been sent yet, for the next broadcast round and for the
// aggregator. Listed parts take only one path, through the aggregator if the fleet has one.
//
// When all nodes of a large fleet start together and each sends its lists to all others, a few hundred kilobytes
// arrive at each slow link at the same moment, and most of them are lost.
func (s *Service) collectUpdates() {
	h := new(Heartbeat)
	s.FillUpdates(h)
	if s.Interval() == shortestInterval {
		s.updatesForAll.add(h.Held, h.Listed)
		return
	}
	s.updatesForAll.add(h.Held, nil)
	s.updatesForAggregator.add(h.Held, h.Listed)
}

// listedPerNode returns how many listed parts an aggregator sends to each of the given number of nodes at a time,
// in a datagram with the given number of counts.
func (s *Service) listedPerNode(nodes, counts int) int {
	link := s.LinkMbps
	if link == 0 {
		link = defaultLinkMbps
	}
	const bytesPerMbit = 1e6 / 8
	bytes := listedLinkShare * float64(link) * bytesPerMbit * shortestInterval.Seconds() / float64(max(1, nodes))
	available := countsAndListedBytes - bytesPerCount*counts
	return min(maxListedForwarded, max(0, min(int(bytes), available)/bytesPerListed))
}
