package sageentry

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"sagestand.example/sagestand/pkg/sageconfig"
)

// accounts finds client accounts by the hash of their key. The index belongs to one configuration state
// and is rebuilt when the state is replaced.
type accounts struct {
	current atomic.Pointer[accountIndex]
}

type accountIndex struct {
	state *sageconfig.State
	byKey map[string]string
}

// find returns the name of the account with the given key.
func (a *accounts) find(s *sageconfig.State, key string) (string, bool) {
	if key == "" {
		return "", false
	}
	i := a.current.Load()
	if i == nil || i.state != s {
		i = newAccountIndex(s)
		a.current.Store(i)
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := i.byKey[hex.EncodeToString(sum[:])]
	return name, ok
}

func newAccountIndex(s *sageconfig.State) *accountIndex {
	i := &accountIndex{state: s, byKey: make(map[string]string)}
	for _, name := range s.Names(sageconfig.KindClientAccount) {
		if a, ok := s.ClientAccount(name); ok {
			i.byKey[a.KeySHA256] = name
		}
	}
	return i
}
