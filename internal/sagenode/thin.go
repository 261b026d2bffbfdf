package sagenode

import (
	"time"

	"sagestand.example/sagestand/internal/sageentry"
)

// thinLocator names only this node.
type thinLocator struct {
	Address string
	Valid   time.Duration
	Config  sageentry.Config
}

func (l *thinLocator) Locate(now time.Time, _, _ string) sageentry.Place {
	return sageentry.Place{Addresses: []string{l.Address}, ValidUntil: now.Add(l.Valid), Revision: l.Config.Revision()}
}

func (l *thinLocator) Leave(now time.Time) time.Time { return now.Add(l.Valid) }
