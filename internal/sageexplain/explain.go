// Package sageexplain collects the log lines of one request from several nodes in order of time.
//
// A caller takes a broken stream up with a new attempt, which names the one that brought the first event. The lines of all
// attempts to get one stream are collected, whichever of them is asked for. If a request was refused as quarantined, the
// lines about the crashes under what it was refused for are collected too.
//
// # Usage
//
//	timeline, err := sageexplain.Read("9c41d0", files...)
//	timeline.Write(os.Stdout)
package sageexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// ErrRequestNotFound reports that no log line names the request.
var ErrRequestNotFound = errors.New("no log line names the request: it was served without a failure, or its lines were dropped under load")

// Line is one log line about the request.
type Line struct {
	At   string
	Node string
	// ID is the ID of the attempt.
	ID  string
	Msg string
	// Pairs are the other fields of the line as key=value, in their order.
	Pairs []string

	resumes string // ID of the attempt whose stream this one takes up
}

// Timeline holds the log lines about one request in order of time.
type Timeline struct {
	ID    string
	Lines []Line
	// Cause explains the reason in the last line, or is its message if it has no reason.
	Cause string
}

// Log is a named log.
type Log struct {
	Name string
	io.Reader
}

// Read collects the lines about a request, and about the other attempts to get its stream. It skips lines that aren't
// logfmt.
func Read(id string, logs ...Log) (Timeline, error) {
	s := Timeline{ID: id}
	var texts []string
	for _, l := range logs {
		b, err := io.ReadAll(l)
		if err != nil {
			return s, fmt.Errorf("read %s: %w", l.Name, err)
		}
		texts = append(texts, string(b))
	}
	first := firstAttempt(id, texts)
	for _, text := range texts {
		s.add(first, text)
	}
	if len(s.Lines) == 0 {
		return s, fmt.Errorf("%s: %w", id, ErrRequestNotFound)
	}
	s.sort()
	s.Cause = cause(&s.Lines[len(s.Lines)-1]) + s.retryDenial()
	s.addEvidence(texts)
	s.sort()
	return s, nil
}

func (s *Timeline) sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return strings.Compare(a.At, b.At) })
}

// firstAttempt returns the ID of the attempt that brought the first event of the stream that an attempt takes up, or the
// attempt's own ID.
func firstAttempt(id string, texts []string) string {
	for _, text := range texts {
		for line := range strings.Lines(text) {
			if !strings.Contains(line, id) {
				continue
			}
			if l, ok := parse(line); ok && l.ID == id && l.resumes != "" {
				return l.resumes
			}
		}
	}
	return id
}

// add adds the lines about an attempt, and about those that take its stream up. The latter name it only in some of their
// lines.
func (s *Timeline) add(first, text string) {
	attempts := map[string]bool{first: true, s.ID: true}
	for line := range strings.Lines(text) {
		if !strings.Contains(line, first) {
			continue
		}
		if l, ok := parse(line); ok && l.resumes == first {
			attempts[l.ID] = true
		}
	}
	for line := range strings.Lines(text) {
		for id := range attempts {
			if !strings.Contains(line, id) {
				continue
			}
			if l, ok := parse(line); ok && l.ID == id {
				s.Lines = append(s.Lines, l)
			}
		}
	}
}

// parse decodes a line and reports whether it is about a request.
func parse(text string) (Line, bool) {
	var out Line
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
			out.ID = v
		default:
			if k == "resumes" {
				out.resumes = v
			}
			out.Pairs = append(out.Pairs, k+"="+v)
		}
	}
	return out, out.ID != "" && d.Err() == nil
}

// causes maps the reasons in log lines to explanations.
var causes = map[string]string{
	"no_config":        "the node had just started and had no configuration",
	"not_fresh":        "the node had no proof that its configuration was fresh, so it accepted no API key; look for lost contact with the store or the peers before this line",
	"bad_request":      "the request had no id",
	"too_large":        "the body was larger than the configuration allows",
	"no_memory":        "the bodies of other requests used all the memory reserved for bodies",
	"no_upstream":      "no upstream of the service could be used, or all had declined the request",
	"upstream_full":    "every upstream that was asked declined the request",
	"no_capacity":      "the service had no capacity for all that was asked, and the account was at its share or the request could not be complete in time; the line before says the account's rate at the node, how many of its requests waited, and when it could return",
	"account_limited":  "the account used its share of a service whose upstreams were brittle",
	"upstreams_paused": "all upstreams of the service had declined requests and asked for none for some time",
	"upstream_failed":  "the upstream returned an error of its own, which was passed on",
	"answer_lost":      "an upstream accepted the request and returned no complete response; see the cause of the preceding exchange",
	"quarantined":      "upstreams had crashed under the same request or part of its prompt; the lines above name it, the crashes and the requests that ran there",
	"origin_unknown":   "the caller took up a stream whose version no node knows any more, so it was not continued; look for restarts of the nodes of its first attempt",
	"origin_moved":     "the caller took up a stream of a service to which its route no longer leads",
	"version_gone":     "the caller took up a stream whose version has no upstream left",
	"timed_out":        "the upstream was still working or unresponsive at the deadline",
}

func cause(l *Line) string {
	reason := l.value("reason")
	switch explanation := causes[reason]; {
	case reason == "":
		return l.Msg
	case explanation != "":
		return reason + ": " + explanation
	}
	return reason
}

// retryDenials explain why a request was not sent once more.
var retryDenials = map[string]string{
	"retry_budget": "it was not sent again, since the node had no token for a retry (retry_budget): the line above has its tokens, their limit, the number of nodes and the time since its start",
	"no_capacity":  "it was not sent again, since the service had no capacity for a second execution (no_capacity)",
}

// retryDenial explains, for an attempt that ended for a reason, why it was not sent once more; empty if that was not denied.
func (s *Timeline) retryDenial() string {
	last := &s.Lines[len(s.Lines)-1]
	if last.value("reason") == "" {
		return ""
	}
	for _, l := range slices.Backward(s.Lines) {
		if explanation := retryDenials[l.value("denied")]; explanation != "" && l.ID == last.ID {
			return "; " + explanation
		}
	}
	return ""
}

// value returns the value of a field; empty if the line doesn't have it.
func (l *Line) value(key string) string {
	for _, p := range l.Pairs {
		if v, ok := strings.CutPrefix(p, key+"="); ok {
			return v
		}
	}
	return ""
}

// Write prints the timeline as text.
func (s *Timeline) Write(w io.Writer) error {
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%s  %-12s %-16s %s  %s\n", l.At, l.Node, l.ID, l.Msg, strings.Join(l.Pairs, " ")); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	if _, err := fmt.Fprintf(w, "cause: %s\n", s.Cause); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}
