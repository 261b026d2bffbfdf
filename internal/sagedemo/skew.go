package sagedemo

import "time"

// skew averages the greatest load of an engine as a multiple of the mean load, over samples in which
// the engines have work.
type skew struct {
	sum float64
	n   int
}

// add takes one sample of the engines' requests in flight.
func (s *skew) add(loads []int) {
	total, most := 0, 0
	for _, l := range loads {
		total += l
		most = max(most, l)
	}
	if total < len(loads) {
		return
	}
	s.sum += float64(most) * float64(len(loads)) / float64(total)
	s.n++
}

func (s *skew) mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// sample reads the engines' true load until done is closed.
func (d *Demo) sample(s *skew, done <-chan struct{}) {
	t := time.NewTicker(sampleGap)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		var loads []int
		for _, e := range d.system.Engines {
			loads = append(loads, e.State().InFlight)
		}
		s.add(loads)
	}
}
