package sageburnd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/report"
	"sagestand.example/sagestand/pkg/sageburn"
)

// Limits of a report.
const (
	collectTimeout = 5 * time.Second
	collectAtOnce  = 32
)

// Service counts requests and makes reports. Its exported fields are set before first use.
type Service struct {
	Objectives []sageburn.Objective
	// Peers returns the addresses of the other live nodes.
	Peers  func() []string
	Client *sagepeer.Client

	once sync.Once
	book *sageburn.Tracker
}

func (s *Service) counts() *sageburn.Tracker {
	s.once.Do(func() { s.book = &sageburn.Tracker{Objectives: s.Objectives} })
	return s.book
}

// Record implements [sageentry.Recorder].
func (s *Service) Record(o sageentry.Observation) {
	s.counts().Record(sageburn.Request{
		Account: o.Account, Priority: o.Priority, Outcome: o.Outcome, Reason: o.Reason,
		ArrivedAt: o.ArrivedAt, FirstByteAt: o.FirstByteAt, EndedAt: o.EndedAt,
	})
}

// Burn answers another node with the counts of this one.
func (s *Service) Burn(context.Context, *report.BurnRequest) (*report.BurnResponse, error) {
	b, err := json.Marshal(s.counts().Snapshot(time.Now()))
	if err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	return &report.BurnResponse{Snapshot: b}, nil
}

// Line is a line of the report with its history, for a plot.
type Line struct {
	sageburn.Line
	History []sageburn.Point `json:"history,omitempty"`
}

// Report is the burn report over all nodes that answered.
type Report struct {
	At    time.Time `json:"at"`
	Lines []Line    `json:"lines"`
	Nodes int       `json:"nodes"`
	// Missing lists the nodes whose counts are not in the report.
	Missing []string `json:"missing,omitempty"`
}

// Collect asks every live node for its counts and works out the report.
func (s *Service) Collect(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	now := time.Now()
	rep := Report{At: now, Nodes: 1}
	snaps := []sageburn.Snapshot{s.counts().Snapshot(now)}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(collectAtOnce)
	for _, addr := range s.Peers() {
		g.Go(func() error {
			snap, err := s.ask(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rep.Missing = append(rep.Missing, addr)
				return nil
			}
			snaps = append(snaps, snap)
			rep.Nodes++
			return nil
		})
	}
	_ = g.Wait()
	slices.Sort(rep.Missing)
	total := sageburn.Merge(snaps...)
	rep.Lines = lines(total, s.Objectives, now)
	return rep
}

func (s *Service) ask(ctx context.Context, addr string) (sageburn.Snapshot, error) {
	var snap sageburn.Snapshot
	res, err := report.NewReportProtobufClient(s.Client.URL(addr), s.Client.HTTP()).Burn(ctx, &report.BurnRequest{})
	if err != nil {
		return snap, fmt.Errorf("ask %s: %w", addr, err)
	}
	if err := json.Unmarshal(res.Snapshot, &snap); err != nil {
		return snap, fmt.Errorf("ask %s: decode: %w", addr, err)
	}
	if err := snap.Check(); err != nil {
		return snap, fmt.Errorf("ask %s: %w", addr, err)
	}
	return snap, nil
}

// lines adds its history to each line of a report.
func lines(total sageburn.Snapshot, objectives []sageburn.Objective, now time.Time) []Line {
	out := []Line{}
	for _, l := range sageburn.Report(total, objectives, now) {
		x := Line{Line: l}
		for i := range total.Series {
			s := &total.Series[i]
			if s.Account == l.Account && s.Priority == l.Priority {
				x.History = s.History(l.Objective.Target, now)
			}
		}
		out = append(out, x)
	}
	return out
}

// ServeHTTP answers an operator with the report.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sageoperator.WriteJSON(w, http.StatusOK, s.Collect(r.Context()))
}
