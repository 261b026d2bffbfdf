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

// Change is the complete new value of one entry. Either Deleted is true, or exactly the field that
// matches Key.Kind is set.
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

// checker is the value of an entry that can be validated.
type checker interface{ Check() error }

// values returns the values that are set in c, by kind.
func (c *Change) values() map[Kind]checker {
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

// Check reports an invalid key, and a change whose value is missing, duplicated, of another kind or
// malformed.
func (c *Change) Check() error {
	if err := c.Key.Check(); err != nil {
		return err
	}
	m := c.values()
	if c.Deleted {
		if len(m) != 0 {
			return fmt.Errorf("%s is deleted but has a value: %w", c.Key, ErrInvalidTicket)
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

// Ticket is a numbered change. It carries the complete new value of every entry that it changes.
type Ticket struct {
	Number uint64 `json:"number"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Force accepts a ticket even if it leaves a client account or a route without an upstream.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// Check reports a missing number, an empty list of changes, two changes of the same entry, and
// malformed changes.
func (t *Ticket) Check() error {
	if t.Number == 0 {
		return fmt.Errorf("ticket without a number: %w", ErrInvalidTicket)
	}
	if len(t.Changes) == 0 {
		return fmt.Errorf("ticket %d has no changes: %w", t.Number, ErrInvalidTicket)
	}
	seen := make(map[EntryKey]bool, len(t.Changes))
	for i := range t.Changes {
		c := &t.Changes[i]
		if err := c.Check(); err != nil {
			return fmt.Errorf("ticket %d, changes[%d]: %w", t.Number, i, err)
		}
		if seen[c.Key] {
			return fmt.Errorf("ticket %d changes %s twice: %w", t.Number, c.Key, ErrInvalidTicket)
		}
		seen[c.Key] = true
	}
	return nil
}

// Digest returns the SHA-256 of the ticket's JSON encoding in hexadecimal. Two submissions with the
// same number are the same ticket if and only if their digests are equal.
func (t *Ticket) Digest() string {
	b, err := json.Marshal(t)
	if err != nil {
		panic("sageconfig: encoding a valid ticket failed: " + err.Error())
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// DecodeTicket decodes and checks a ticket. Unknown fields, trailing data and tickets larger than
// [MaxTicketBytes] are errors.
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
		return nil, fmt.Errorf("trailing data after the ticket: %w", ErrInvalidTicket)
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	return t, nil
}
