package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Load of the case, and the times of the runners that leave.
const (
	leavingTime    = 34 * time.Second
	streamClients  = 12
	streamEvents   = 36
	streamGap      = 150 * time.Millisecond
	engines        = 3
	noticeTime     = 2 * time.Second // from the notice to the end of the process
	betweenLeaving = 9 * time.Second
)

// playEndOfLeavingRunner takes runners away: each reports that it is draining, and its process is killed noticeTime later.
// Streams that last longer are cut off by that.
func playEndOfLeavingRunner(ctx context.Context, l *ledger, trouble bool) error {
	s, err := newSystem(l)
	if err != nil {
		return err
	}
	defer s.stop()
	s.configure()
	var running []*engineProcess
	defer func() {
		for _, e := range running {
			e.kill(&s.store)
		}
	}()
	add := func(i int) error {
		e, err := startEngine(l, &s.store, fmt.Sprintf("i-7f3a91c%d", i))
		if err == nil {
			running = append(running, e)
		}
		return err
	}
	for i := range engines {
		if err := add(i); err != nil {
			return err
		}
	}
	if err := s.startNodes(ctx, 1); err != nil {
		return err
	}
	c := newClient(l, s.entry(0))
	ctx, cancel := context.WithTimeout(ctx, leavingTime)
	defer cancel()
	var wg sync.WaitGroup
	for i := range streamClients {
		wg.Go(func() {
			for sleep(ctx, time.Duration(i)*streamGap) {
				c.stream()
			}
		})
	}
	for i := 0; trouble && sleep(ctx, betweenLeaving); i++ {
		if err := add(engines + i); err != nil {
			return err
		}
		e := running[0]
		running = running[1:]
		l.write("%s reports that it is draining", e.id)
		e.register(&s.store, "draining", 2)
		sleep(ctx, noticeTime)
		l.write("%s is killed", e.id)
		e.kill(&s.store)
	}
	wg.Wait()
	return nil
}

// stream sends one attempt for a stream and checks that it is whole if it ends as complete.
func (c *client) stream() {
	id := newAttempt()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry+"/kunden-antwort/lo20/", strings.NewReader(strings.Repeat("b", 830)))
	if err != nil {
		c.ledger.write("%s not sent: %v", id, err)
		return
	}
	req.GetBody = nil
	req.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": "10000", "Authorization": "Bearer " + apiKey, "X-Model": "m", "X-Token-Usage": "829,80",
		"X-Prompt-Prefix": "5c1e07a2:119," + id[8:] + ":580,b" + id[8:] + ":130",
	} {
		req.Header.Set(name, value)
	}
	c.ledger.sent(id, "kunden-antwort", true)
	res, err := c.http.Do(req)
	if err != nil {
		c.ledger.answered(id, 0, err.Error())
		return
	}
	defer func() { _ = res.Body.Close() }()
	events, lines := 0, bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	switch err := lines.Err(); {
	case err != nil:
		c.ledger.answered(id, 0, fmt.Sprintf("cut after %d events: %v", events, err))
	case res.StatusCode == http.StatusOK && events < streamEvents:
		c.ledger.answered(id, res.StatusCode, fmt.Sprintf("complete with %d events", events))
		c.ledger.breaks("ORDER", "stream %s ended as complete after event %d of %d", id, events, streamEvents)
	default:
		c.ledger.answered(id, res.StatusCode, fmt.Sprintf("%d events", events))
	}
}
