package sagecapacity

// meanSlots returns the mean of the known numbers of slots, or 0 if none is known.
func meanSlots(upstreams []Upstream) float64 {
	var known meanOfPositive
	for i := range upstreams {
		known.add(upstreams[i].Slots)
	}
	return known.value()
}

// meanCandidateSlots returns the mean of the known numbers of slots, or 1 if none is known.
func meanCandidateSlots(candidates []Candidate) float64 {
	var known meanOfPositive
	for i := range candidates {
		known.add(candidates[i].Slots)
	}
	if known.n == 0 {
		return 1
	}
	return known.value()
}

// meanOfPositive is the mean of the positive ones of some numbers of slots.
type meanOfPositive struct{ sum, n float64 }

func (m *meanOfPositive) add(slots int) {
	if slots > 0 {
		m.sum += float64(min(slots, maxSlots))
		m.n++
	}
}

func (m *meanOfPositive) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / m.n
}
