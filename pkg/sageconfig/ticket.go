package sageconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// MaxTicketBytes is the greatest size of an encoded ticket.
const MaxTicketBytes = 256 << 10

// Change is the whole new state of one thing. Exactly the field that matches Thing.Kind is set,
// or Deleted.
type Change struct {
	Key           EntryKey       `json:"thing"`
	Deleted       bool           `json:"deleted,omitempty"`
	Route         *Route         `json:"route,omitempty"`
	DataCentre    *DataCentre    `json:"data_centre,omitempty"`
	Upstream      *Upstream      `json:"upstream,omitempty"`
	UpstreamSet   *UpstreamSet   `json:"upstream_set,omitempty"`
	ClientAccount *ClientAccount `json:"client_account,omitempty"`
	ModelSet      *ModelSet      `json:"model_set,omitempty"`
	Order         *Order         `json:"order,omitempty"`
}

// checker is a state that checks itself when decoded.
type checker interface{ Check() error }

// states lists the set fields of c by kind.
func (c *Change) states() map[Kind]checker {
	m := make(map[Kind]checker, 1)
	if c.Route != nil {
		m[KindRoute] = c.Route
	}
	if c.DataCentre != nil {
		m[KindDataCentre] = c.DataCentre
	}
	if c.Upstream != nil {
		m[KindUpstream] = c.Upstream
	}
	if c.UpstreamSet != nil {
		m[KindUpstreamSet] = c.UpstreamSet
	}
	if c.ClientAccount != nil {
		m[KindClientAccount] = c.ClientAccount
	}
	if c.ModelSet != nil {
		m[KindModelSet] = c.ModelSet
	}
	if c.Order != nil {
		m[KindOrder] = c.Order
	}
	return m
}

// Check reports a change whose state is missing, doubled, of another kind or malformed.
func (c *Change) Check() error {
	if err := c.Key.Check(); err != nil {
		return err
	}
	m := c.states()
	if c.Deleted {
		if len(m) != 0 {
			return fmt.Errorf("%s is deleted and has a state: %w", c.Key, ErrInvalidTicket)
		}
		return nil
	}
	s, ok := m[c.Key.Kind]
	if !ok || len(m) != 1 {
		return fmt.Errorf("%s needs exactly the field %q: %w", c.Key, c.Key.Kind, ErrInvalidTicket)
	}
	if err := s.Check(); err != nil {
		return fmt.Errorf("%s: %w", c.Key, err)
	}
	return nil
}

// Ticket is a numbered change: the whole new state of everything it touches.
type Ticket struct {
	Number uint64 `json:"number"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Force accepts a ticket that leaves an account or a route without an upstream.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// Check reports a ticket without number or changes, with a thing that stands twice, or with a
// malformed change.
func (t *Ticket) Check() error {
	if t.Number == 0 {
		return fmt.Errorf("ticket without a number: %w", ErrInvalidTicket)
	}
	if len(t.Changes) == 0 {
		return fmt.Errorf("ticket %d changes nothing: %w", t.Number, ErrInvalidTicket)
	}
	seen := make(map[EntryKey]bool, len(t.Changes))
	for i := range t.Changes {
		c := &t.Changes[i]
		if err := c.Check(); err != nil {
			return fmt.Errorf("ticket %d, changes[%d]: %w", t.Number, i, err)
		}
		if seen[c.Key] {
			return fmt.Errorf("ticket %d touches %s twice: %w", t.Number, c.Key, ErrInvalidTicket)
		}
		seen[c.Key] = true
	}
	return nil
}

// Digest returns the SHA-256 of the ticket's canonical encoding in hexadecimal. Two submissions of
// one number are the same ticket exactly if their digests match.
func (t *Ticket) Digest() string {
	b, err := json.Marshal(t)
	if err != nil {
		panic("sageconfig: a checked ticket always encodes: " + err.Error())
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// DecodeTicket decodes a ticket strictly and checks it: unknown fields, trailing data and
// tickets above [MaxTicketBytes] are errors.
func DecodeTicket(b []byte) (*Ticket, error) {
	if len(b) > MaxTicketBytes {
		return nil, fmt.Errorf("ticket of %d bytes (at most %d): %w", len(b), MaxTicketBytes, ErrInvalidTicket)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	t := new(Ticket)
	if err := d.Decode(t); err != nil {
		return nil, fmt.Errorf("decode ticket: %v: %w", err, ErrInvalidTicket)
	}
	if d.More() {
		return nil, fmt.Errorf("data after the ticket: %w", ErrInvalidTicket)
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	return t, nil
}
