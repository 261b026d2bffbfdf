package sageconn

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// Owner says whose a response is.
type Owner int

// Owners of responses.
const (
	// OwnerUnknown: the response doesn't say.
	OwnerUnknown Owner = iota
	// OwnerSelf: it is the response to the request of the round trip.
	OwnerSelf
	// OwnerOther: it is the response to another request.
	OwnerOther
)

// Limits of the responses to other requests that are skipped before the response to a request. What is beyond them is passed
// on like the request's own response.
const (
	maxSkipped         = 8
	maxSkippedBodySize = 1 << 20
)

// maxHead is the size of the largest head that is examined.
const maxHead = 32 << 10

// errNoEnd is the error of a read after a response to another request whose end can't be found.
var errNoEnd = errors.New("response to another request has no end")

// ErrMergedHead is the error of a read of a head that holds the status line of another response: the first one was cut off
// inside its head, and what its fields say may be about either.
var ErrMergedHead = errors.New("response head cut off by another response")

// errNoResponse is the error of a read of a head without a status line of HTTP/1. net/http accepts other versions, and several blanks.
var errNoResponse = errors.New("bytes are no response")

// errExtra is the error of a read after the response to the request.
var errExtra = errors.New("bytes after the end of the response")

var crlf = []byte("\r\n")

// responseStart matches the beginning of a response, successStart that of a success, statusLine any beginning of a status line that
// net/http accepts, endingStatusLine a whole one at the end of a line.
var (
	responseStart    = regexp.MustCompile(`^HTTP/1\.[01] [0-9]{3}[ \r\n]`)
	successStart     = regexp.MustCompile(`^HTTP/1\.[01] 2[0-9]{2}[ \r\n]`)
	endingStatusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}(?: [A-Za-z' -]*)?\r?\n`)
	statusLine       = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)
)

// filter examines the head of the response to a request, and removes the responses to other requests that precede it. The
// zero value passes all on.
type filter struct {
	// owner returns whose a response is; nil if it isn't asked.
	owner func(*http.Response) Owner
	// checks is set while heads are checked.
	checks bool
	// skips is set if responses to other requests are removed, skipped is their number.
	skips   bool
	skipped int
	// identified is set once the response to the request has been passed on.
	identified bool
	// own is set while the body of the response to the request is passed on, if its end can be found.
	own bool
	// extra is set once bytes came after the response to the request.
	extra bool
	// unread holds bytes that aren't a complete head yet.
	unread []byte
	// body is that of the last skipped response, or that of the response to the request.
	body body
	// skipping is set while the body of a skipped response is to come.
	skipping bool
}

// add takes bytes that were read and returns those to pass on. After the head of a response that isn't skipped, all are, up to the
// end of that response. It fails if there is more, if the end of a response that is skipped can't be found, if two heads have
// merged, or if a head is malformed.
func (f *filter) add(b []byte) ([]byte, error) {
	if f.own {
		return f.passBody(b)
	}
	if f.owner == nil && !f.checks {
		return b, nil
	}
	f.unread = append(f.unread, b...)
	var out []byte
	for {
		if err := f.skipBody(); err != nil {
			return out, err
		}
		n := headLen(f.unread)
		switch {
		case f.skipping || n == 0 && len(f.unread) < maxHead:
			return out, nil
		case n == 0:
			return append(out, f.passAll()...), nil
		}
		head := f.unread[:n]
		if f.owner != nil && f.merged(head) {
			return out, ErrMergedHead
		}
		if err := CheckHead(head); err != nil {
			return out, err
		}
		switch f.examine(head) {
		case passHead:
			out = append(out, head...)
		case passAll:
			return append(out, f.passAll()...), nil
		case passResponse:
			rest, err := f.passBody(f.unread[n:])
			f.unread = nil
			return append(append(out, head...), rest...), err
		}
		f.unread = f.unread[len(head):]
	}
}

// merged reports whether a head holds the status line of another response. On a connection that was not used before, only bytes that
// answer nothing can precede the response, and a field of a complete success may quote a
// status line, though it may not end with that of a failure.
func (f *filter) merged(head []byte) bool {
	lines := statusLine.FindAllIndex(head, 2)
	if len(lines) < 2 || f.skips {
		return len(lines) > 1
	}
	if lines[1][0] < bytes.IndexByte(head, '\n') || !successStart.Match(head) {
		return true
	}
	quoted := endingStatusLine.FindAll(head[lines[0][1]:], -1)
	return slices.ContainsFunc(quoted, func(line []byte) bool { return !successStart.Match(line) })
}

// headLen returns the length of the head with which b begins, 0 if it isn't complete. Like net/http, it accepts lines that end
// with LF alone.
func headLen(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		switch {
		case bytes.HasPrefix(b[i:], []byte("\n")):
			return i + 1
		case bytes.HasPrefix(b[i:], crlf):
			return i + len(crlf)
		}
	}
}

// skipBody skips what is there of the body of a skipped response.
func (f *filter) skipBody() error {
	if !f.skipping {
		return nil
	}
	n, ended, err := f.body.read(f.unread)
	f.unread, f.skipping = f.unread[n:], !ended
	return err
}

// passBody passes on what belongs to the body of the response to the request. Bytes after it belong to no request. The transport
// would take them for the beginning of the next response if a request took the connection before it looked at them.
func (f *filter) passBody(b []byte) ([]byte, error) {
	n, ended, err := f.body.read(b)
	switch {
	case err != nil: // the transport finds it malformed
		f.own = false
		return b, nil
	case ended && n < len(b):
		f.extra = true
		return b[:n], errExtra
	}
	return b, nil
}

// passAll ends the filter and returns what it holds.
func (f *filter) passAll() []byte {
	out := f.unread
	f.owner, f.checks, f.unread, f.own = nil, false, nil, false
	return out
}

// action is what becomes of a response.
type action int

const (
	// passAll: its head and all that follows are passed on.
	passAll action = iota
	// passHead: it is informational; the head of another one follows.
	passHead
	// passResponse: it is the response to the request, which is passed on to its end.
	passResponse
	// skip: its body is skipped as well.
	skip
)

// examine returns what becomes of the response with a head.
func (f *filter) examine(head []byte) action {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		return passAll
	}
	_ = res.Body.Close() // holds nothing but the head
	if informational(res.StatusCode) {
		return passHead
	}
	if f.owner == nil {
		return passAll
	}
	owner := f.owner(res)
	f.identified = owner == OwnerSelf
	known := false
	switch {
	case owner == OwnerSelf:
		if f.body, known = newBody(res, 0); known {
			f.own = true
			return passResponse
		}
	case owner == OwnerOther && f.skips && f.skipped < maxSkipped:
		if f.body, known = newBody(res, maxSkippedBodySize); known {
			f.skipped++
			f.skipping = true
			return skip
		}
	}
	return passAll
}

// informational reports whether another response follows one with a status, as net/http sees it.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
