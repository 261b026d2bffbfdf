package sagemesh

import (
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How nodes that fell silent are found.
const (
	// leastSilence is how long a node may always stay silent without being asked: four of the shortest intervals.
	leastSilence = 4 * shortest
	// missedRounds is how many of its rounds to all a node may stay silent.
	missedRounds = 3
	// enoughExpected is how many heartbeats of a data centre's nodes must be missing in leastSilence for all
	// of them to be in doubt.
	enoughExpected = 4
	// answerWithin is how long a node that is in doubt has for an answer, and is asked at the shortest interval:
	// two datagrams over the longest way between data centres, and a slow node's time to make one.
	answerWithin = 500 * time.Millisecond
	// wordsFor is how long a hub tells that a node of its data centre fell silent, some datagrams long.
	wordsFor = time.Second
)

// words are addresses of silent nodes that a hub passes on.
type words struct {
	// near are those of its own data centre, which it found out itself; all are those that other hubs
	// told of as well.
	near, all []string
}

// doubted reports whether a live node is to be asked whether it lives. mu is held.
func (s *Service) doubted(now sageclock.Instant, p *peer, interval time.Duration, quiet map[string]bool) bool {
	silence := now.Sub(p.heard)
	switch {
	case silence <= leastSilence:
		return false
	case p.soon, p.told > p.heard, quiet[p.member.DataCentre]:
		return true
	}
	if since, ok := s.expected[p.member.Address]; ok {
		return now.Sub(max(p.heard, since)) > leastSilence
	}
	return silence > missedRounds*interval
}

// expect sets the nodes that have to tell this one at the shortest interval, as far as it knows.
//
// It guards against nodes that died together with a hub: the deputy that takes over was not told soon by
// them, or died as well and never says that it took over, and until their rounds to all are overdue
// everybody would take them for live.
func (s *Service) expect(nodes map[string]bool) {
	for a := range s.expected {
		if !nodes[a] {
			delete(s.expected, a)
		}
	}
	for a := range nodes {
		if s.expected[a] == 0 {
			s.expected[a] = s.now()
		}
	}
}

// quietCentres returns the data centres that seem to be gone or cut off: nothing came from any of their
// nodes for so long that several heartbeats are missing. mu is held.
//
// It guards against callers of a data centre without power who are sent to its nodes: its hub, which would
// tell of silent nodes, is silent too, and each node's own silence shows only after its next round.
func (s *Service) quietCentres(now sageclock.Instant, interval time.Duration) map[string]bool {
	nodes := make(map[string]int)
	last := make(map[string]sageclock.Instant)
	for a := range s.live {
		p := s.peers[a]
		nodes[p.member.DataCentre]++
		last[p.member.DataCentre] = max(last[p.member.DataCentre], p.heard)
	}
	quiet := make(map[string]bool)
	for dc, n := range nodes {
		expected := float64(n) * float64(leastSilence) / float64(interval)
		quiet[dc] = now.Sub(last[dc]) > leastSilence && expected >= enoughExpected
	}
	return quiet
}

// sweep asks silent nodes whether they live, and drops those that did not answer.
//
// It guards against addresses of dead nodes in the directory's answers: with hundreds of nodes the rounds to
// all are seconds apart, and a caller meets several dead nodes in a row. Who is told at the shortest interval,
// as a hub is by the nodes of its data centre, notices after a few of them and passes it on. Nobody
// is dropped on another's word or because of one lost datagram: a hub may hear nothing and still be heard.
func (s *Service) sweep() {
	now, interval := s.now(), s.Interval()
	hub := s.hubs()[s.DataCentre].first
	var lost []Member
	ask := make(map[string]bool)
	s.mu.Lock()
	quiet := s.quietCentres(now, interval)
	for a, p := range s.peers {
		switch {
		case !s.live[a]:
			if !p.seed && now.Sub(max(p.heard, p.added)) > forgetAfter {
				delete(s.peers, a)
				s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == a })
			}
		case p.asked > p.heard && now.Sub(p.asked) > answerWithin:
			s.drop(now, a, a == hub)
			lost = append(lost, p.member)
		case p.asked > p.heard:
			ask[a] = true
		case s.doubted(now, p, interval, quiet):
			p.asked = now
			ask[a] = true
		}
	}
	s.mu.Unlock()
	if len(ask) > 0 {
		s.tellThose(round{
			fill: func(h *Heartbeat) { h.ReplyRequested = true },
			want: func(t *target) bool { return ask[t.address] },
		})
	}
	for _, m := range lost {
		s.OnLost(m)
	}
}

// drop takes a node for dead. mu is held.
//
// It guards against nodes that died together with their hub, the next hubs among them: nobody is left who was
// told soon by all of the others, so each node of the data centre finds out who answers.
func (s *Service) drop(now sageclock.Instant, address string, hub bool) {
	delete(s.live, address)
	s.peers[address].lost = now
	if !hub {
		return
	}
	for a := range s.live {
		if p := s.peers[a]; p.member.DataCentre == s.DataCentre {
			p.told = now
		}
	}
}

// silentWords returns the nodes of which this one, as a hub, has to tell.
func (s *Service) silentWords() words {
	now := s.now()
	var w words
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, p := range s.peers {
		if !s.live[a] && p.lost != 0 && now.Sub(p.lost) < wordsFor && p.member.DataCentre == s.DataCentre {
			w.near = append(w.near, a)
		}
	}
	w.all = slices.Clone(w.near)
	for a, at := range s.silentFar {
		if now.Sub(at) < wordsFor {
			w.all = append(w.all, a)
		} else {
			delete(s.silentFar, a)
		}
	}
	return w
}

// hearSilent notes the nodes that a hub calls silent, and keeps what another data centre's hub found out for
// the nodes of this one. mu is held.
func (s *Service) hearSilent(now sageclock.Instant, h *Heartbeat) {
	for _, a := range h.Unresponsive {
		if p := s.peers[a]; p != nil {
			p.told = now
		}
		if h.Forward && h.DataCentre != s.DataCentre {
			s.silentFar[a] = now
		}
	}
}
