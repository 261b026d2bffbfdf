package sageorigin

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Limits of messages.
const (
	// MaxMessageBytes is the maximum size of a message, so that it fits into one packet.
	MaxMessageBytes = 1200
	// maxTTL is the longest time for which a record is accepted.
	maxTTL = 10 * time.Minute
)

// ErrMessage reports a message that can't be decoded.
var ErrMessage = errors.New("malformed message on origins")

// Query asks a node for the origin of a stream.
type Query struct {
	// Number is repeated in the answer.
	Number uint64
	Key    Key
	// Route is the name of the route on which the caller returned.
	Route string
}

// Answer is the answer to a query.
type Answer struct {
	Number uint64
	Status Status
	// Origin is set unless Status is Unknown or Uninformed.
	Origin Origin
	// Age is for how long the node has had the record.
	Age time.Duration
}

// Message is what nodes send each other: records, a query or an answer.
type Message struct {
	// Records are records to be held.
	Records []Record
	Query   *Query
	Answer  *Answer
	// Save are records to be written to the store.
	Save []Record
}

// Field numbers of messages and of their parts.
const (
	fieldRecord protowire.Number = 1
	fieldQuery  protowire.Number = 2
	fieldAnswer protowire.Number = 3
	fieldSave   protowire.Number = 4

	fieldKey     protowire.Number = 1
	fieldTTL     protowire.Number = 2 // milliseconds
	fieldService protowire.Number = 3
	fieldVersion protowire.Number = 4
	fieldNumber  protowire.Number = 5
	fieldRoute   protowire.Number = 6
	fieldStatus  protowire.Number = 7
	fieldAge     protowire.Number = 8 // milliseconds
)

// Encode returns the encoded message. Records that have ended are left out.
func (m *Message) Encode(now sageclock.Instant) []byte {
	var b []byte
	b = appendRecords(b, fieldRecord, now, m.Records)
	b = appendRecords(b, fieldSave, now, m.Save)
	if q := m.Query; q != nil {
		part := appendNumber(nil, fieldNumber, q.Number)
		part = appendBytes(part, fieldKey, q.Key[:])
		b = appendPart(b, fieldQuery, appendBytes(part, fieldRoute, []byte(q.Route)))
	}
	if a := m.Answer; a != nil {
		part := appendNumber(nil, fieldNumber, a.Number)
		part = appendNumber(part, fieldStatus, uint64(a.Status))
		part = appendNumber(part, fieldAge, uint64(max(0, a.Age.Milliseconds())))
		b = appendPart(b, fieldAnswer, a.Origin.append(part))
	}
	return b
}

func appendRecords(b []byte, n protowire.Number, now sageclock.Instant, records []Record) []byte {
	for i := range records {
		if ttl := records[i].Until.Sub(now); ttl > 0 {
			b = appendPart(b, n, records[i].append(nil, min(ttl, maxTTL)))
		}
	}
	return b
}

// MaxEncodedBytes returns the maximum size of the encoded record.
func (r *Record) MaxEncodedBytes() int { return len(r.append(nil, maxTTL)) + 4 }

func (r *Record) append(b []byte, ttl time.Duration) []byte {
	b = appendBytes(b, fieldKey, r.Key[:])
	b = appendNumber(b, fieldTTL, uint64(max(1, ttl.Milliseconds())))
	return r.Origin.append(b)
}

func (o *Origin) append(b []byte) []byte {
	b = appendBytes(b, fieldService, []byte(o.Service))
	return appendBytes(b, fieldVersion, []byte(o.Version))
}

func appendNumber(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendPart(b []byte, n protowire.Number, part []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), part)
}

// fields are the decoded fields of a part of a message.
type fields struct {
	key                     []byte
	service, version, route string
	ttl, number             uint64
	status, age             uint64
}

// Decode decodes a message that was received at now. Fields that it doesn't know are skipped.
func Decode(now sageclock.Instant, b []byte) (Message, error) {
	var m Message
	if len(b) > MaxMessageBytes {
		return m, fmt.Errorf("%d bytes: %w", len(b), ErrMessage)
	}
	err := eachField(b, func(n protowire.Number, _ uint64, part []byte) error {
		if n > fieldSave {
			return nil
		}
		f, err := decodePart(part)
		if err != nil {
			return err
		}
		switch n {
		case fieldRecord:
			return addRecord(&m.Records, now, f)
		case fieldSave:
			return addRecord(&m.Save, now, f)
		case fieldQuery:
			return m.setQuery(f)
		case fieldAnswer:
			return m.setAnswer(f)
		}
		return nil
	})
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func addRecord(records *[]Record, now sageclock.Instant, f *fields) error {
	r := Record{Origin: Origin{f.service, f.version}}
	if err := r.Origin.Check(); err != nil {
		return fmt.Errorf("record: %v: %w", err, ErrMessage)
	}
	if len(f.key) != len(r.Key) || f.ttl == 0 || f.ttl > uint64(maxTTL.Milliseconds()) {
		return fmt.Errorf("record: key of %d bytes, %d ms: %w", len(f.key), f.ttl, ErrMessage)
	}
	copy(r.Key[:], f.key)
	r.Until = now.Add(time.Duration(f.ttl) * time.Millisecond)
	*records = append(*records, r)
	return nil
}

func (m *Message) setQuery(f *fields) error {
	q := &Query{Number: f.number, Route: f.route}
	if len(f.key) != len(q.Key) || len(f.route) > maxNameBytes {
		return fmt.Errorf("query: key of %d bytes, route of %d: %w", len(f.key), len(f.route), ErrMessage)
	}
	copy(q.Key[:], f.key)
	m.Query = q
	return nil
}

func (m *Message) setAnswer(f *fields) error {
	if f.status >= uint64(numStatuses) || f.age > uint64(maxTTL.Milliseconds()) {
		return fmt.Errorf("answer: status %d, age of %d ms: %w", f.status, f.age, ErrMessage)
	}
	a := &Answer{Number: f.number, Status: Status(f.status), Origin: Origin{f.service, f.version}, Age: time.Duration(f.age) * time.Millisecond}
	if err := a.Origin.Check(); a.Status.hasOrigin() && err != nil {
		return fmt.Errorf("answer: %v: %w", err, ErrMessage)
	}
	m.Answer = a
	return nil
}

func decodePart(b []byte) (*fields, error) {
	f := new(fields)
	err := eachField(b, func(n protowire.Number, v uint64, data []byte) error {
		switch n {
		case fieldKey:
			f.key = data
		case fieldTTL:
			f.ttl = v
		case fieldService:
			f.service = string(data)
		case fieldVersion:
			f.version = string(data)
		case fieldNumber:
			f.number = v
		case fieldRoute:
			f.route = string(data)
		case fieldStatus:
			f.status = v
		case fieldAge:
			f.age = v
		}
		return nil
	})
	return f, err
}

// eachField calls visit for each field with its number or its bytes.
func eachField(b []byte, visit func(n protowire.Number, v uint64, data []byte) error) error {
	for len(b) > 0 {
		n, typ, size := protowire.ConsumeTag(b)
		if size < 0 {
			return fmt.Errorf("tag: %v: %w", protowire.ParseError(size), ErrMessage)
		}
		b = b[size:]
		var v uint64
		var data []byte
		switch typ {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			data, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, typ, b)
		}
		if size < 0 {
			return fmt.Errorf("field %d: %v: %w", n, protowire.ParseError(size), ErrMessage)
		}
		b = b[size:]
		if err := visit(n, v, data); err != nil {
			return err
		}
	}
	return nil
}
