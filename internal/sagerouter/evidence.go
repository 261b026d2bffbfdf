package sagerouter

import (
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagereach"
	"sagestand.example/sagestand/pkg/sageupstream"
)

const (
	// evidenceDelay is how long evidence of an unanswered exchange is held back if no other upstream answers
	// meanwhile. A lost path is detected within this time.
	evidenceDelay = 2 * time.Second
	// minEvidenceDelay is how long it is held back in any case, so that nodes which the upstream answers can
	// contradict it.
	minEvidenceDelay = 600 * time.Millisecond
	// maxPendingEvidence limits the held back evidence.
	maxPendingEvidence = 1024
)

// pendingEvidence is evidence against an upstream that counts only if this node's path was open.
type pendingEvidence struct {
	service, upstream string
	at                sageclock.Instant
	commit            func()
}

// evidenceQueue holds back evidence of unanswered exchanges, in the order of time.
type evidenceQueue struct {
	mu      sync.Mutex
	pending []pendingEvidence
}

// WhenPathVerified implements [sagerelay.Fleet]. Evidence above the limit is dropped: so many unanswered exchanges at once
// are those of a lost path.
func (f *fleet) WhenPathVerified(u *sageupstream.Entry, commit func()) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	if len(f.evidence.pending) < maxPendingEvidence {
		f.evidence.pending = append(f.evidence.pending, pendingEvidence{u.Service, u.ID, sageclock.Now(), commit})
	}
}

// settleEvidence commits the evidence that was not caused by this node's path, and drops the evidence that was.
func (f *fleet) settleEvidence(now sageclock.Instant) {
	var commits []func()
	f.evidence.mu.Lock()
	if len(f.evidence.pending) == 0 {
		f.evidence.mu.Unlock()
		return
	}
	answered := f.answeredNodes.SumOthers(now)
	kept := f.evidence.pending[:0]
	for i := range f.evidence.pending {
		e := &f.evidence.pending[i]
		switch {
		case now.Sub(e.at) < minEvidenceDelay:
			kept = append(kept, *e)
		case f.reach.LostBetween(e.service, e.at) || answered[e.upstream] > 0:
			f.view.log.Limited(sagelog.KindStateChange, "Evidence against an upstream dropped: the path was lost, or it answers others.", "upstream", e.upstream, "service", e.service)
		case f.reach.State(e.service) == sagereach.Open && (now.Sub(e.at) >= evidenceDelay || f.reach.AnsweredSince(e.service, e.upstream, e.at)):
			commits = append(commits, e.commit)
		default:
			kept = append(kept, *e)
		}
	}
	clear(f.evidence.pending[len(kept):])
	f.evidence.pending = kept
	f.evidence.mu.Unlock()
	for _, commit := range commits {
		commit()
	}
}
