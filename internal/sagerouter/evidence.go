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
	// evidenceDelay is how long evidence of an unresponsive upstream is held back if no other upstream answers meanwhile. A
	// lost path is detected within this time.
	evidenceDelay = 2 * time.Second
	// minEvidenceDelay is how long it is held back in any case, so that nodes which the upstream answers can
	// contradict it. A path that refuses connections is detected within this time.
	minEvidenceDelay = 600 * time.Millisecond
	// maxEvidenceDelay is how long a refused connection is held back while the path is lost: the lease of a crashed
	// upstream lapses within this time.
	maxEvidenceDelay = 5 * time.Second
	// maxPendingEvidence limits the held back evidence.
	maxPendingEvidence = 1024
)

// pendingEvidence is evidence against an upstream that counts only if this node's path was open.
type pendingEvidence struct {
	upstream *sageupstream.Entry
	at       sageclock.Instant
	// refused says that a connection was refused, and not that the upstream was unresponsive.
	refused bool
	commit  func()
}

// evidenceQueue holds back evidence of unanswered exchanges, in the order of time.
type evidenceQueue struct {
	mu      sync.Mutex
	pending []pendingEvidence
}

// WhenPathVerified implements [sagerelay.Fleet]. Evidence above the limit is dropped: so many unanswered exchanges at once
// are those of a lost path.
func (f *fleet) WhenPathVerified(u *sageupstream.Entry, refused bool, commit func()) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	if len(f.evidence.pending) < maxPendingEvidence {
		f.evidence.pending = append(f.evidence.pending, pendingEvidence{u, sageclock.Now(), refused, commit})
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
	set := f.view.upstreams.Load()
	kept := f.evidence.pending[:0]
	for i := range f.evidence.pending {
		e := &f.evidence.pending[i]
		switch f.judge(now, e, set, answered[e.upstream.ID] > 0) {
		case evidenceCounts:
			commits = append(commits, e.commit)
		case evidenceDropped:
			f.view.log.Limited(sagelog.KindStateChange, "Evidence against an upstream dropped: the path was lost, or it answers others.",
				"upstream", e.upstream.ID, "service", e.upstream.Service, "refused", e.refused, "age_ms", now.Sub(e.at).Milliseconds())
		case evidencePending:
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

// judgement is what becomes of evidence.
type judgement int

const (
	evidencePending judgement = iota
	evidenceCounts
	evidenceDropped
)

// judge decides about evidence. If the path was lost meanwhile, or the upstream answers other nodes, a refused connection
// counts once the store shows that this start of the upstream is gone. The answers may also date from before a crash.
func (f *fleet) judge(now sageclock.Instant, e *pendingEvidence, set *sageupstream.Set, answersOthers bool) judgement {
	age, service := now.Sub(e.at), e.upstream.Service
	current := set.Get(e.upstream.ID)
	gone := current == nil || current.Start() != e.upstream.Start()
	switch {
	case age < minEvidenceDelay:
		return evidencePending
	case answersOthers || f.reach.LostBetween(service, e.at):
		if e.refused && gone {
			return evidenceCounts
		}
		if e.refused && age < maxEvidenceDelay {
			return evidencePending
		}
		return evidenceDropped
	case f.reach.State(service) != sagereach.Open:
		return evidencePending
	case e.refused || age >= evidenceDelay || f.reach.AnsweredSince(service, e.upstream.ID, e.at):
		return evidenceCounts
	}
	return evidencePending
}
