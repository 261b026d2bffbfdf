// Package sageexplain tells the story of one request from the logs of several nodes.
//
// # Usage
//
//	story, err := sageexplain.Read("9c41d0", files...)
//	story.Write(os.Stdout)
package sageexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// ErrRequestNotFound reports that no log mentions the request.
var ErrRequestNotFound = errors.New("no line names the request: it was served without a failure, or its lines were left out under load")

// Line is one line about the request.
type Line struct {
	At   string
	Node string
	Msg  string
	// Pairs are the other fields in the order of the line.
	Pairs []string
}

// Timeline is what the logs say of one request, in order.
type Timeline struct {
	ID    string
	Lines []Line
	// Cause is what the last line says.
	Cause string
}

// Log is a named log.
type Log struct {
	Name string
	io.Reader
}

// Read collects the lines about a request. Lines that aren't logfmt are passed over.
func Read(id string, logs ...Log) (Timeline, error) {
	s := Timeline{ID: id}
	for _, l := range logs {
		if err := s.add(l); err != nil {
			return s, fmt.Errorf("read %s: %w", l.Name, err)
		}
	}
	if len(s.Lines) == 0 {
		return s, fmt.Errorf("%s: %w", id, ErrRequestNotFound)
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return strings.Compare(a.At, b.At) })
	s.Cause = cause(&s.Lines[len(s.Lines)-1])
	return s, nil
}

func (s *Timeline) add(l Log) error {
	b, err := io.ReadAll(l)
	if err != nil {
		return err
	}
	for text := range strings.Lines(string(b)) {
		if !strings.Contains(text, s.ID) {
			continue
		}
		if line, ok := parse(text, s.ID); ok {
			s.Lines = append(s.Lines, line)
		}
	}
	return nil
}

// parse decodes a line, and reports whether it is about the request.
func parse(text, id string) (Line, bool) {
	var out Line
	about := false
	d := logfmt.NewDecoder(strings.NewReader(text))
	d.ScanRecord()
	for d.ScanKeyval() {
		k, v := string(d.Key()), string(d.Value())
		switch k {
		case "at":
			out.At = v
		case "node":
			out.Node = v
		case "msg":
			out.Msg = v
		case "level":
		case "id":
			about = v == id
		default:
			out.Pairs = append(out.Pairs, k+"="+v)
		}
	}
	return out, about && d.Err() == nil
}

// causes explain the reasons that a line may state.
var causes = map[string]string{
	"no_config":       "the node had just started and knew no configuration",
	"not_fresh":       "the node had no proof that its configuration was fresh, so it trusted no key; look for the store's or the peers' silence before this line",
	"bad_request":     "the request had no id",
	"too_large":       "the body was larger than the configuration allows",
	"no_memory":       "the bodies of other requests took the memory set aside for them",
	"no_upstream":     "no upstream of the service might be used, or all had declined",
	"upstream_full":   "every upstream that was asked declined the request",
	"upstream_failed": "the upstream answered with a failure of its own, which was passed on",
	"answer_lost":     "an upstream took the request and gave no whole answer; see the cause of the exchange before",
	"quarantined":     "upstreams had crashed under requests with the same fingerprint; look for it in the lines of their crashes",
	"timed_out":       "the upstream was still at work, or silent, at the deadline",
}

func cause(l *Line) string {
	for _, p := range l.Pairs {
		if r, ok := strings.CutPrefix(p, "reason="); ok {
			if c := causes[r]; c != "" {
				return r + ": " + c
			}
			return r
		}
	}
	return l.Msg
}

// Write prints the story for a person.
func (s *Timeline) Write(w io.Writer) error {
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%s  %-12s %s  %s\n", l.At, l.Node, l.Msg, strings.Join(l.Pairs, " ")); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "cause: %s\n", s.Cause); err != nil {
		return fmt.Errorf("write story: %w", err)
	}
	return nil
}
