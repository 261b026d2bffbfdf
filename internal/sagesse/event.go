package sagesse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of [Reader.Next].
var (
	ErrTooLarge  = errors.New("event too large")
	ErrMalformed = errors.New("malformed event")
)

// statusLine is the beginning of an HTTP response. A faulty server may send a second response within a stream.
var statusLine = []byte("HTTP/1.")

// unreservedBytes is the size up to which events are read without a reservation, many times that of a usual one.
const unreservedBytes = 4 << 10

// Event is one server-sent event.
type Event struct {
	// Raw is the unchanged text of the event, including the blank line at its end.
	Raw []byte
	// ID is the event's numeric ID; 0 if it has none.
	ID   uint64
	Type string
	Data []byte
}

// IsKeepAlive reports whether the event carries no part of the response.
func (e *Event) IsKeepAlive() bool { return e.Data == nil && e.Type == "" && e.ID == 0 }

// Reader splits a stream into events. It returns an event only after the blank line at its end, so
// that a truncated stream never yields a partial event.
type Reader struct {
	R *bufio.Reader
	// MaxEventBytes is the maximum size of an event.
	MaxEventBytes int

	// Reserve is called before an event that is larger than unreservedBytes takes more memory, with the number of bytes; nil
	// reserves nothing. The event ends with its error.
	Reserve func(n int) error

	cleanEOF bool
	// reserved is the number of bytes that are reserved for the event that is read.
	reserved int
	// blank is the number of bytes of blank lines before the event that is read.
	blank int
}

// CleanEOF reports, after an error of [Reader.Next], whether the input ended without a read error
// between two events.
func (r *Reader) CleanEOF() bool { return r.cleanEOF }

// Next returns the next event.
func (r *Reader) Next() (*Event, error) {
	e := new(Event)
	r.reserved = 0
	for {
		line, err := r.readLine(len(e.Raw))
		if err != nil {
			return nil, err
		}
		e.Raw = append(e.Raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(e.Raw) <= 2 {
				if r.blank += len(e.Raw); r.blank > r.MaxEventBytes {
					return nil, fmt.Errorf("more than %d bytes of blank lines: %w", r.MaxEventBytes, ErrTooLarge)
				}
				e.Raw = e.Raw[:0]
				continue
			}
			r.blank = 0
			return e, nil
		}
		if err := e.parseField(line); err != nil {
			return nil, err
		}
	}
}

// readLine reads a line including its newline; used is the size of the event so far.
func (r *Reader) readLine(used int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.R.ReadSlice('\n')
		line = append(line, part...)
		if used+len(line) > r.MaxEventBytes {
			return nil, fmt.Errorf("more than %d bytes: %w", r.MaxEventBytes, ErrTooLarge)
		}
		if err := r.reserve(used + len(line)); err != nil {
			return nil, err
		}
		if err == nil {
			return line, nil
		}
		if err == io.EOF {
			r.cleanEOF = used+len(line) == 0
			return nil, io.ErrUnexpectedEOF
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// reserve reserves memory for an event that has reached a size. Each time it doubles what is reserved.
func (r *Reader) reserve(size int) error {
	if r.Reserve == nil || size <= unreservedBytes+r.reserved {
		return nil
	}
	n := unreservedBytes + r.reserved
	if err := r.Reserve(n); err != nil {
		return fmt.Errorf("reserve memory for an event: %w", err)
	}
	r.reserved += n
	return nil
}

func (e *Event) parseField(line []byte) error {
	if line[0] == ':' {
		return nil
	}
	if bytes.HasPrefix(line, statusLine) {
		return fmt.Errorf("status line of another response: %w", ErrMalformed)
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil || n == 0 {
			return fmt.Errorf("event id %q: %w", value, ErrMalformed)
		}
		e.ID = n
	case "event":
		e.Type = string(value)
	case "data":
		if e.Data == nil {
			e.Data = make([]byte, 0, len(value))
		} else {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
	return nil
}
