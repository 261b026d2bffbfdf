package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Load of the case: clients send requests at random moments, and now and then several at once, which fill the runners.
const (
	refusalTime    = 90 * time.Second
	refusalRepeats = 0.03
	singleInterval = 40 * time.Millisecond
	groupShare     = 0.2
	groupSize      = 7
)

// playRefusalOfAnother has one of two runners send a few of its answers a second time, late, at the point where the answer
// to the next request is expected. Among them are rejections, which a full runner gives.
func playRefusalOfAnother(ctx context.Context, l *ledger, trouble bool) error {
	s, err := newSystem(l)
	if err != nil {
		return err
	}
	defer s.stop()
	s.configure()
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("i-eb5e43d7%d", i), ledger: l, slots: 2, queue: 1, work: 30 * time.Millisecond}
		if i == 0 && trouble {
			r.repeats = refusalRepeats
		}
		if err := r.start(&s.store); err != nil {
			return err
		}
		defer r.stop()
	}
	if err := s.startNodes(ctx, 1); err != nil {
		return err
	}
	c := newClient(l, s.entry(0))
	var wg sync.WaitGroup
	for end := time.Now().Add(refusalTime); time.Now().Before(end) && ctx.Err() == nil; {
		n := 1
		if rand.Float64() < groupShare {
			n = 2 + rand.IntN(groupSize)
		}
		for range n {
			once := rand.IntN(10) < 7
			path := "/status-abfrage/lo20/"
			if once {
				path = "/vorbestellung/lo20/"
			}
			wg.Go(func() { c.send(ctx, path, once) })
		}
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(singleInterval)))
	}
	wg.Wait()
	sleep(ctx, time.Second)
	l.judgeOnce()
	return nil
}
