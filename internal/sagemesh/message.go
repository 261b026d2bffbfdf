package sagemesh

import (
	"fmt"
	"net"
)

// messageMarker is the first byte of a datagram that isn't a heartbeat. No heartbeat begins with it, since it is no tag of
// a field.
const messageMarker = 0

// SendMessage sends a message of another package to the node with an address, once.
func (s *Service) SendMessage(address string, b []byte) error {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || addr.IP == nil {
		return fmt.Errorf("send message to %q: %w", address, ErrAddress)
	}
	s.write(append([]byte{messageMarker}, b...), addr)
	return nil
}

// handleMessage passes a datagram that isn't a heartbeat to OnMessage, and reports whether it was one.
func (s *Service) handleMessage(b []byte, from net.Addr) bool {
	if len(b) == 0 || b[0] != messageMarker {
		return false
	}
	if s.OnMessage != nil && from != nil {
		s.OnMessage(b[1:], from.String())
	}
	return true
}
