package sageadmission

// waiters are the goroutines that wait for a decision, by what is decided on.
type waiters[E comparable] map[E]chan struct{}

// add returns a channel that is closed when e is decided on.
func (w waiters[E]) add(e E) <-chan struct{} {
	c := make(chan struct{})
	w[e] = c
	return c
}

// wake notifies those that wait for the decided ones.
func (w waiters[E]) wake(decided []E) {
	for _, e := range decided {
		if c := w[e]; c != nil {
			close(c)
			delete(w, e)
		}
	}
}
