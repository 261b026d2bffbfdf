package sagedemo

import "time"

// skew averages the ratio of the highest load of an engine to the mean load, over samples with at least
// one request in flight per engine on average.
type skew struct {
	sum float64
	n   int
}

// add takes one sample of the engines' requests in flight.
func (s *skew) add(loads []int) {
	total, peak := 0, 0
	for _, l := range loads {
		total += l
		peak = max(peak, l)
	}
	if total < len(loads) {
		return
	}
	s.sum += float64(peak) * float64(len(loads)) / float64(total)
	s.n++
}

func (s *skew) mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// sample reads the engines' actual load, rather than their delayed reports, until done is closed.
func (d *Demo) sample(s *skew, done <-chan struct{}) {
	t := time.NewTicker(sampleInterval)
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
