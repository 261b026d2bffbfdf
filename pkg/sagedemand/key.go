package sagedemand

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxNameBytes is the maximum length of the names of services, accounts and upstreams in a key.
const maxNameBytes = 128

// separator separates the service from the name in an encoded key.
const separator = "\x00"

// ErrKey reports a string that isn't an encoded key.
var ErrKey = errors.New("malformed demand key")

// Kind says what a count counts.
type Kind byte

// The kinds of counts.
const (
	// Requests are callers' requests for a service. The name is that of an account; empty for all accounts.
	Requests Kind = 'q'
	// Runs are complete responses of the upstreams of a service. The name is that of an upstream; empty for all.
	Runs Kind = 'r'
	// Nodes are the nodes that count. Service and name are empty.
	Nodes Kind = 'n'
)

// Key identifies a count.
type Key struct {
	Kind          Kind
	Service, Name string
}

// String returns the key as it is sent to other nodes.
func (k Key) String() string { return string(k.Kind) + k.Service + separator + k.Name }

// ParseKey parses what [Key.String] returned.
func ParseKey(s string) (Key, error) {
	if s == "" || len(s) > 1+maxNameBytes+len(separator)+maxNameBytes {
		return Key{}, fmt.Errorf("%d bytes: %w", len(s), ErrKey)
	}
	service, name, ok := strings.Cut(s[1:], separator)
	if !ok || !isName(service) || !isName(name) {
		return Key{}, fmt.Errorf("%q: %w", s, ErrKey)
	}
	k := Key{Kind: Kind(s[0]), Service: service, Name: name}
	switch k.Kind {
	case Requests, Runs:
		ok = service != ""
	case Nodes:
		ok = service == "" && name == ""
	default:
		ok = false
	}
	if !ok {
		return Key{}, fmt.Errorf("%q: %w", s, ErrKey)
	}
	return k, nil
}

// isName reports whether s can be sent as a name. Strings in heartbeats must be valid UTF-8.
func isName(s string) bool {
	return len(s) <= maxNameBytes && utf8.ValidString(s) && !strings.Contains(s, separator)
}
