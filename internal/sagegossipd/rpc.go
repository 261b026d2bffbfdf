package sagegossipd

import (
	"context"
	"fmt"

	"github.com/twitchtv/twirp"

	"sagestand.example/sagestand/internal/sagerpc/exchange"
	"sagestand.example/sagestand/pkg/sagegossip"
)

// Meet implements [exchange.Exchange]. It handles the first call of an exchange that a peer starts.
func (s *Service) Meet(_ context.Context, r *exchange.MeetRequest) (*exchange.MeetResponse, error) {
	s.init()
	deltas, own, err := s.Engine.Answer(fromWire(r.GetDigests()))
	if err != nil {
		return nil, twirp.InvalidArgumentError("digests", err.Error())
	}
	return &exchange.MeetResponse{Deltas: toWire(deltas), Digests: toWire(own)}, nil
}

// Push implements [exchange.Exchange]. It merges the deltas that a peer sends after Meet.
func (s *Service) Push(_ context.Context, r *exchange.PushRequest) (*exchange.PushResponse, error) {
	s.init()
	if err := s.Engine.Merge(fromWire(r.GetDeltas())); err != nil {
		return nil, twirp.InvalidArgumentError("deltas", err.Error())
	}
	return &exchange.PushResponse{}, nil
}

// rpcTransport implements [sagegossip.Transport] over twirp.
type rpcTransport struct {
	peers Peers
	self  string
}

func (c *rpcTransport) client(addr string) exchange.Exchange {
	return exchange.NewExchangeProtobufClient(c.peers.URL(addr), c.peers.HTTP())
}

// Meet implements [sagegossip.Transport].
func (c *rpcTransport) Meet(ctx context.Context, addr string, digests []sagegossip.Part) (deltas, own []sagegossip.Part, err error) {
	res, err := c.client(addr).Meet(ctx, &exchange.MeetRequest{Node: c.self, Digests: toWire(digests)})
	if err != nil {
		return nil, nil, fmt.Errorf("call meet: %w", err)
	}
	return fromWire(res.GetDeltas()), fromWire(res.GetDigests()), nil
}

// Push implements [sagegossip.Transport].
func (c *rpcTransport) Push(ctx context.Context, addr string, deltas []sagegossip.Part) error {
	if _, err := c.client(addr).Push(ctx, &exchange.PushRequest{Node: c.self, Deltas: toWire(deltas)}); err != nil {
		return fmt.Errorf("call push: %w", err)
	}
	return nil
}

func toWire(parts []sagegossip.Part) []*exchange.Part {
	out := make([]*exchange.Part, len(parts))
	for i, p := range parts {
		out[i] = &exchange.Part{Section: p.Section, Data: p.Data}
	}
	return out
}

func fromWire(parts []*exchange.Part) []sagegossip.Part {
	out := make([]sagegossip.Part, len(parts))
	for i, p := range parts {
		out[i] = sagegossip.Part{Section: p.GetSection(), Data: p.GetData()}
	}
	return out
}
