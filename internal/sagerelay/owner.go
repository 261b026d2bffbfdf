package sagerelay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageconn"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagehealth"
)

// ownerOf returns whose a response is. A faulty upstream may send a second copy of an earlier response, which arrives before
// the response to the next request on the connection. It is skipped.
func (x *exchange) ownerOf(res *http.Response) sageconn.Owner {
	switch x.j.s.Dialect.ParseResponse(res).ID {
	case x.j.meta.ID:
		return sageconn.OwnerSelf
	case "":
		return sageconn.OwnerUnknown
	}
	return sageconn.OwnerOther
}

// owns reports whether a response is the one to this exchange's request. Until then nothing in it may be believed, neither
// that the request has not run nor what it says about its upstream.
//
// A response with an ID belongs to the request with that ID. Not all others' can be skipped. Rejections may lack one. Such a
// response belongs to this request, since it is no copy: no connection is used again after a response without an ID.
func (x *exchange) owns(res *http.Response) bool {
	x.recordSkipped()
	owner := x.ownerOf(res)
	if owner == sageconn.OwnerUnknown {
		x.tracker.Discard()
	}
	return owner != sageconn.OwnerOther
}

// httpVersion is how status lines begin.
var httpVersion = []byte("HTTP/1.")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// maxHeadBuffer is the largest buffer in bytes for a head inside a body.
const maxHeadBuffer = 4 << 10

// errForeignInside reports an event that holds a response to another request.
var errForeignInside = errors.New("response to another request inside an event")

// holdsForeign reports whether a body, or an event, on a reused connection holds a response to another request: a copy that came
// after a part of the response, from its beginning to the ID at least. At the beginning of a body, any part of a head counts.
func (x *exchange) holdsForeign(body []byte) bool {
	if !x.conn.reused || !bytes.Contains(body, httpVersion) {
		return false
	}
	if bytes.HasPrefix(body, httpVersion) {
		_, err := x.ownerOfHead(body)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return true
		}
	}
	for {
		start := statusLine.FindIndex(body)
		if start == nil {
			return false
		}
		body = body[start[0]:]
		n := sageconn.HeadLen(body)
		head := body[:n]
		if n == 0 { // cut off by the end of the body
			head = append(bytes.Clone(body[:bytes.LastIndexByte(body, '\n')+1]), '\n')
		}
		// Of several status lines the last one is that of the copy; text of the response may hold others.
		for next := statusLine.FindIndex(head[1:]); next != nil; next = statusLine.FindIndex(head[1:]) {
			head = head[1+next[0]:]
		}
		if owner, err := x.ownerOfHead(head); err == nil && owner == sageconn.OwnerOther {
			return true
		}
		if n == 0 {
			return false
		}
		body = body[n:]
	}
}

// ownerOfHead returns whose the response with a head is.
func (x *exchange) ownerOfHead(head []byte) (sageconn.Owner, error) {
	res, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), min(len(head), maxHeadBuffer)), nil)
	if err != nil {
		return sageconn.OwnerUnknown, fmt.Errorf("read head: %w", err)
	}
	_ = res.Body.Close() // isn't read
	return x.ownerOf(res), nil
}

// recordSkipped records the responses to other requests that have been skipped since it was last called.
func (x *exchange) recordSkipped() {
	n := x.tracker.Skipped() - x.skipped
	if n <= 0 {
		return
	}
	x.skipped += n
	x.countForeign("skipped", n)
	x.j.s.Log.Limited(sagelog.KindExchange, "Responses to other requests skipped.", "id", x.j.meta.ID, "upstream", x.upstreamID(), "skipped", n, "idle_ms", x.conn.idle.Milliseconds())
}

// rejectForeign handles an exchange that got a response which isn't known to be its own. The request may have run.
func (x *exchange) rejectForeign(res *http.Response) verdict {
	j, meta := x.j, x.j.s.Dialect.ParseResponse(res)
	j.s.Log.Limited(sagelog.KindExchange, "Response belongs to another request.", "id", j.meta.ID, "response_id", truncate(meta.ID), "upstream", x.upstreamID(), "status", res.StatusCode,
		"not_run", meta.NotRun, "reused", x.conn.reused, "idle_ms", x.conn.idle.Milliseconds())
	x.countForeign("rejected", 1)
	return x.rejectResponse("response belongs to another request")
}

// countForeign counts responses to other requests.
func (x *exchange) countForeign(outcome string, n int) {
	x.j.s.Metrics.GetOrCreateCounter(`sagestand_foreign_responses_total{service="` + x.j.serviceName + `",outcome="` + outcome + `"}`).Add(n)
}

// rejectResponse handles an exchange whose response can't be trusted.
func (x *exchange) rejectResponse(cause string) verdict {
	x.tracker.Discard()
	x.j.cause = cause
	x.j.possibleRuns++
	x.recordExchange(sagehealth.Broken)
	return failed
}
