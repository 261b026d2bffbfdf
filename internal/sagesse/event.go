package sagesse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of a stream of events.
var (
	ErrTooLarge  = errors.New("event too large")
	ErrMalformed = errors.New("malformed event")
)

// Event is one server-sent event.
type Event struct {
	// Raw is the event as it came, with its closing blank line.
	Raw []byte
	// Position is the event's id; 0 if it has none.
	ID   uint64
	Type string
	Data []byte
}

// Idle reports an event that carries nothing of the answer, as keep-alives do.
func (e *Event) IsKeepAlive() bool { return e.Data == nil && e.Type == "" && e.ID == 0 }

// Reader splits a stream into events. An event counts only once its blank line has come, so a
// cut stream never yields half an event.
type Reader struct {
	R *bufio.Reader
	// Max is the greatest event in bytes.
	MaxEventBytes int

	ended bool
}

// Ended reports, after an error of [Reader.Next], that the input ended regularly and between two
// events. Whether a stream may end there is for the caller to know.
func (r *Reader) CleanEOF() bool { return r.ended }

// Next returns the next event.
func (r *Reader) Next() (*Event, error) {
	e := new(Event)
	for {
		line, err := r.line(len(e.Raw))
		if err != nil {
			return nil, err
		}
		e.Raw = append(e.Raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(e.Raw) <= 2 {
				e.Raw = e.Raw[:0]
				continue
			}
			return e, nil
		}
		if err := e.field(line); err != nil {
			return nil, err
		}
	}
}

// line reads up to and with the next newline, of an event that has used bytes so far.
func (r *Reader) line(used int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.R.ReadSlice('\n')
		line = append(line, part...)
		if used+len(line) > r.MaxEventBytes {
			return nil, fmt.Errorf("more than %d bytes: %w", r.MaxEventBytes, ErrTooLarge)
		}
		if err == nil {
			return line, nil
		}
		if err == io.EOF {
			r.ended = used+len(line) == 0
			return nil, io.ErrUnexpectedEOF
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

func (e *Event) field(line []byte) error {
	if line[0] == ':' {
		return nil
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
