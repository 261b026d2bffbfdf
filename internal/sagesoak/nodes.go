package sagesoak

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// nodeFault is a time in which a node was stopped or frozen.
type nodeFault struct {
	node        int
	from, until time.Time // until is zero while the fault lasts
}

// inTouch reports whether a node ran for contactTime before a time, and runs at the time itself.
func (s *Soak) inTouch(node int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.nodeFaults {
		if f.node == node && !at.Before(f.from) && (f.until.IsZero() || at.Before(f.until.Add(contactTime))) {
			return false
		}
	}
	return true
}

func (s *Soak) injectNode() (string, func()) {
	if s.rng.IntN(2) == 0 {
		return s.signalNode("kill", syscall.SIGKILL)
	}
	return s.signalNode("freeze", syscall.SIGSTOP)
}

// signalNode sends a signal to a random node, unless another fault affects the node. The returned function
// resumes a frozen node and restarts one that exited.
func (s *Soak) signalNode(name string, sig syscall.Signal) (string, func()) {
	return s.signalNodeAt(s.rng.IntN(s.Nodes), name, sig)
}

// signalNodeAt is like signalNode for a given node.
func (s *Soak) signalNodeAt(i int, name string, sig syscall.Signal) (string, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultyNodes[i] {
		return "", nil
	}
	s.faultyNodes[i] = true
	fault := &nodeFault{node: i, from: time.Now()}
	s.nodeFaults = append(s.nodeFaults, fault)
	s.sys.Signal(i, sig)
	return fmt.Sprintf("%s %d", name, i), func() {
		if sig == syscall.SIGSTOP {
			s.sys.ForgetAnnouncements(i)
			s.sys.Signal(i, syscall.SIGCONT)
		} else {
			<-s.sys.Exited(i)
			s.sys.ForgetAnnouncements(i)
			if err := s.sys.StartNode(i); err != nil {
				s.sys.Ledger.RecordViolation("node %d was not restarted: %v", i, err)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faultyNodes[i], fault.until = false, time.Now()
	}
}

// signalFor sends a signal to a node, which runs again after the given time. pending waits for that.
func (s *Soak) signalFor(pending *sync.WaitGroup, name string, sig syscall.Signal, node int, duration time.Duration) {
	injected, revert := s.signalNodeAt(node, name, sig)
	if injected == "" {
		return
	}
	s.recordInjected(injected, duration)
	pending.Go(func() {
		time.Sleep(duration)
		revert()
	})
}

// inTouchAt is like inTouch for the node with an IP address.
func (s *Soak) inTouchAt(ip string, at time.Time) bool {
	for i := range s.Nodes {
		if s.sys.NodeIP(i) == ip {
			return s.inTouch(i, at)
		}
	}
	return false
}

// checkLateRuns checks that nothing was executed for callers that had their answers or had left, unless a node on the way was
// stopped or frozen meanwhile.
func (s *Soak) checkLateRuns() {
	for _, r := range s.sys.Ledger.LateRuns() {
		if s.inTouchAt(r.Entry, r.At) && s.inTouchAt(r.Sender, r.At) {
			s.sys.Ledger.RecordViolation("request %s by %s was executed by %s for %s %.3fs after the start, %v after its caller's end", r.ID, r.Entry, r.Runner, r.Sender, r.At.Sub(s.start).Seconds(), r.After)
		}
	}
}
