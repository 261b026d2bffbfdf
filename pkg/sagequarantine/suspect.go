package sagequarantine

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// Kind is what a suspect is. Of two kinds that explain the same crashes, the smaller one bars fewer requests.
type Kind int

// The kinds.
const (
	// Request is a whole request.
	Request Kind = iota
	// Part is a part of the prompts of one client account.
	Part
	// SharedPart is a part of the prompts of all client accounts.
	SharedPart
)

// namePrefixes begin the names of suspects by kind.
var namePrefixes = [...]string{Request: "", Part: "part-", SharedPart: "shared-part-"}

// Suspect is a request or a part of prompts that may crash upstreams.
type Suspect struct {
	Kind        Kind
	Fingerprint Fingerprint
	// Shared is, for a Part, the fingerprint of the same part for all client accounts.
	Shared Fingerprint
	// Label describes the suspect for operators. It is known on nodes only that had it in a request.
	Label string
}

// NewRequest returns the suspect with the fingerprint of a request.
func NewRequest(f Fingerprint) Suspect { return Suspect{Kind: Request, Fingerprint: f} }

// NewPart returns the suspect for a part of the prompts that a client account sends to a model of a service.
func NewPart(account, service, model string, id uint64) Suspect {
	var marker, number [8]byte
	binary.BigEndian.PutUint64(marker[:], partMarker)
	binary.BigEndian.PutUint64(number[:], id)
	return Suspect{
		Kind: Part, Fingerprint: hashOf(marker[:], number[:], "account", account, service, model),
		Shared: hashOf(marker[:], number[:], "all", service, model),
	}
}

// Name returns the suspect's name in the store and in logs.
func (s Suspect) Name() string { return namePrefixes[s.Kind] + s.Fingerprint.String() }

// Names returns the names of suspects.
func Names(suspects []Suspect) []string {
	var out []string
	for _, s := range suspects {
		out = append(out, s.Name())
	}
	return out
}

// ParseName reads the name of a suspect.
func ParseName(name string) (Suspect, error) {
	for k := SharedPart; k >= Request; k-- {
		text, ok := strings.CutPrefix(name, namePrefixes[k])
		if !ok {
			continue
		}
		f, err := ParseFingerprint(text)
		if err != nil {
			return Suspect{}, fmt.Errorf("name of suspect: %w", err)
		}
		return Suspect{Kind: k, Fingerprint: f}, nil
	}
	return Suspect{}, fmt.Errorf("%q: %w", name, ErrFingerprint)
}
