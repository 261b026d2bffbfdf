package sagemesh

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// ErrHeartbeat reports a datagram that isn't a valid heartbeat.
var ErrHeartbeat = errors.New("malformed heartbeat")

// encode returns the encoded fields that all receivers get. [receiverFields.append] adds the others.
func (h *Heartbeat) encode() ([]byte, error) {
	address, err := packAddress(h.Address)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	m := &heartbeat.Heartbeat{
		Address: address, Ready: h.Ready, Leaving: h.Leaving, Blind: h.StoreUnreachable, Informed: h.Synced, Broken: h.Broken, Answered: h.Answered,
		Unanswered: h.Unanswered, Unreachable: h.Unreachable,
		Stamp: &heartbeat.Stamp{Incarnation: h.Stamp.Incarnation, At: int64(h.Stamp.At)}, Ask: h.ReplyRequested, Pass: h.Forward,
	}
	if m.Silent, err = packAddresses(h.Unresponsive); err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	for kind, p := range h.Copies {
		m.Copies = append(m.Copies, &heartbeat.Copy{
			Kind: kind, AsOf: p.AsOf, Era: p.Era, Content: p.ContentRevision, AgeMillis: p.ProofAgeMillis, BaseEra: p.Base.Era, BaseRevision: p.Base.Revision,
		})
	}
	m.Upstreams, m.InFlight = toColumns(h.InFlight)
	if h.Sum != nil {
		m.Sum = &heartbeat.Sum{All: h.Sum.FleetWide}
		m.Sum.Upstreams, m.Sum.InFlight = toColumns(h.Sum.InFlight)
		m.Sum.BrokenUpstreams, m.Sum.Broken = toColumns(h.Sum.Broken)
		m.Sum.AnsweredUpstreams, m.Sum.Answered = toColumns(h.Sum.Answered)
		m.Sum.AnswerKeys, m.Sum.Answers = toColumns(h.Sum.Answers)
		m.Sum.DemandKeys, m.Sum.Demand = toColumns(h.Sum.Demand)
	}
	m.AnswerKeys, m.Answers = toColumns(h.Answers)
	m.DemandKeys, m.Demand = toColumns(h.Demand)
	m.Plans = packPlans(h.Stamp.At, h.Plans)
	m.Crashes = packCrashes(h.Crashes)
	m.Cleared = convert[uint64](h.Cleared)
	for u, parts := range h.Held {
		m.Held = append(m.Held, &heartbeat.Held{Upstream: u, Parts: parts})
	}
	for u, parts := range h.Listed {
		m.Listed = append(m.Listed, &heartbeat.Listed{Upstream: u, Hashes: convert[uint32](parts)})
	}
	packBrittle(m, h)
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	return b, nil
}

// receiverFields are the fields of a heartbeat that depend on the receiver.
type receiverFields struct {
	echo Stamp
	// identity is the sender's identity for a receiver that lacks it; nil for others.
	identity       *Identity
	knownAddresses []string
	// shortInterval says that the sender sends to the receiver at the shortest interval.
	shortInterval bool
}

// append returns a copy of the encoded common fields with those for one receiver added.
func (x *receiverFields) append(common []byte) ([]byte, error) {
	m := &heartbeat.Heartbeat{Soon: x.shortInterval}
	if x.echo != (Stamp{}) {
		m.Echo = &heartbeat.Stamp{Incarnation: x.echo.Incarnation, At: int64(x.echo.At)}
	}
	if id := x.identity; id != nil {
		m.Identity = &heartbeat.Identity{Node: id.Node, Entry: id.Entry, DataCentre: id.DataCentre, LinkMbps: uint32(id.LinkMbps), Region: id.Region}
	}
	var err error
	if m.Known, err = packAddresses(x.knownAddresses); err != nil {
		return nil, fmt.Errorf("complete heartbeat: %w", err)
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], m)
	if err != nil {
		return nil, fmt.Errorf("complete heartbeat: %w", err)
	}
	return out, nil
}

// decode decodes a datagram received at the instant now.
func decode(now sageclock.Instant, b []byte) (*Heartbeat, error) {
	m := new(heartbeat.Heartbeat)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%v: %w", err, ErrHeartbeat)
	}
	address, err := unpackAddress(m.GetAddress())
	if err != nil {
		return nil, err
	}
	counts, err := fromColumns(m.GetUpstreams(), m.GetInFlight())
	if err != nil {
		return nil, err
	}
	if m.GetStamp().GetIncarnation() == 0 {
		return nil, fmt.Errorf("no stamp: %w", ErrHeartbeat)
	}
	id := m.GetIdentity()
	h := &Heartbeat{
		Address: address, Identity: Identity{Node: id.GetNode(), Entry: id.GetEntry(), DataCentre: id.GetDataCentre(), LinkMbps: int(id.GetLinkMbps()), Region: id.GetRegion()},
		Ready: m.GetReady(), Leaving: m.GetLeaving(), StoreUnreachable: m.GetBlind(), Synced: m.GetInformed(), Broken: m.GetBroken(), Answered: m.GetAnswered(),
		Unanswered: m.GetUnanswered(), Unreachable: m.GetUnreachable(),
		Stamp: decodeStamp(m.GetStamp()), Echo: decodeStamp(m.GetEcho()),
		Copies: make(map[string]sagefollow.Position, len(m.GetCopies())), InFlight: counts,
		ShortInterval: m.GetSoon(), ReplyRequested: m.GetAsk(), Forward: m.GetPass(),
	}
	for _, c := range m.GetCopies() {
		h.Copies[c.GetKind()] = sagefollow.Position{
			AsOf: c.GetAsOf(), Era: c.GetEra(), Base: sagefollow.Point{Era: c.GetBaseEra(), Revision: c.GetBaseRevision()},
			ContentRevision: c.GetContent(), ProofAgeMillis: c.GetAgeMillis(),
		}
	}
	if sum := m.GetSum(); sum != nil {
		counts, err := fromColumns(sum.GetUpstreams(), sum.GetInFlight())
		if err != nil {
			return nil, err
		}
		broken, err := fromColumns(sum.GetBrokenUpstreams(), sum.GetBroken())
		if err != nil {
			return nil, err
		}
		answered, err := fromColumns(sum.GetAnsweredUpstreams(), sum.GetAnswered())
		if err != nil {
			return nil, err
		}
		answers, err := fromColumns(sum.GetAnswerKeys(), sum.GetAnswers())
		if err != nil {
			return nil, err
		}
		demand, err := fromColumns(sum.GetDemandKeys(), sum.GetDemand())
		if err != nil {
			return nil, err
		}
		h.Sum = &Sum{FleetWide: sum.GetAll(), InFlight: counts, Broken: broken, Answered: answered, Answers: answers, Demand: demand}
	}
	if h.Answers, err = fromColumns(m.GetAnswerKeys(), m.GetAnswers()); err != nil {
		return nil, err
	}
	if h.Demand, err = fromColumns(m.GetDemandKeys(), m.GetDemand()); err != nil {
		return nil, err
	}
	if h.Plans, err = unpackPlans(now, m.GetPlans()); err != nil {
		return nil, err
	}
	if h.Crashes, err = unpackCrashes(m.GetCrashes()); err != nil {
		return nil, err
	}
	if err := unpackBrittle(h, m); err != nil {
		return nil, err
	}
	h.Cleared = convert[sagequarantine.Fingerprint](m.GetCleared())
	if len(m.GetHeld()) > 0 {
		h.Held = make(map[string][]uint64, len(m.GetHeld()))
	}
	for _, p := range m.GetHeld() {
		h.Held[p.GetUpstream()] = p.GetParts()
	}
	if len(m.GetListed()) > 0 {
		h.Listed = make(map[string][]sagechain.PartHash, len(m.GetListed()))
	}
	for _, p := range m.GetListed() {
		h.Listed[p.GetUpstream()] = convert[sagechain.PartHash](p.GetHashes())
	}
	if h.KnownAddresses, err = unpackAddresses(m.GetKnown()); err != nil {
		return nil, err
	}
	if h.Unresponsive, err = unpackAddresses(m.GetSilent()); err != nil {
		return nil, err
	}
	return h, nil
}

// toColumns returns the positive counts by upstream as two slices of equal length.
func toColumns(counts map[string]int) (upstreams []string, numbers []uint32) {
	for u, n := range counts {
		if n > 0 {
			upstreams, numbers = append(upstreams, u), append(numbers, uint32(n))
		}
	}
	return upstreams, numbers
}

func fromColumns(upstreams []string, numbers []uint32) (map[string]int, error) {
	if len(upstreams) != len(numbers) {
		return nil, fmt.Errorf("%d upstreams with %d counts: %w", len(upstreams), len(numbers), ErrHeartbeat)
	}
	counts := make(map[string]int, len(numbers))
	for i, u := range upstreams {
		counts[u] = int(numbers[i])
	}
	return counts, nil
}

// convert converts a slice of numbers to another element type.
func convert[To, From ~uint32 | ~uint64](in []From) []To {
	if len(in) == 0 {
		return nil
	}
	out := make([]To, len(in))
	for i, n := range in {
		out[i] = To(n)
	}
	return out
}

func decodeStamp(s *heartbeat.Stamp) Stamp {
	return Stamp{Incarnation: s.GetIncarnation(), At: sageclock.Instant(s.GetAt())}
}

// packAddress encodes an IPv4 address and port in six bytes.
func packAddress(address string) ([]byte, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return nil, fmt.Errorf("%q: %w", address, ErrAddress)
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("pack %q: %w", address, err)
	}
	return b, nil
}

func packAddresses(addresses []string) ([][]byte, error) {
	var out [][]byte
	for _, a := range addresses {
		b, err := packAddress(a)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func unpackAddresses(packed [][]byte) ([]string, error) {
	var out []string
	for _, b := range packed {
		a, err := unpackAddress(b)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func unpackAddress(b []byte) (string, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.Addr().Is4() {
		return "", fmt.Errorf("address of %d bytes: %w", len(b), ErrHeartbeat)
	}
	return a.String(), nil
}
