package sagemesh

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
)

// ErrDelta reports a malformed delta from a peer.
var ErrDelta = errors.New("malformed delta")

// encodeDelta writes a delta as JSON, one change at a time. Encoded as a whole, the copy of a large fleet's upstreams would
// need more memory than it occupies afterwards.
func encodeDelta(w io.Writer, d sagefollow.Delta) error {
	b := bufio.NewWriter(w)
	base, err := json.Marshal(d.Base)
	if err != nil {
		return fmt.Errorf("encode base: %w", err)
	}
	_, _ = fmt.Fprintf(b, `{"full":%t,"as_of":%d,"era":%d,"base":%s,"changes":[`, d.Full, d.AsOf, d.Era, base) // Flush reports errors
	for i := range d.Changes {
		if i > 0 {
			_ = b.WriteByte(',')
		}
		text, err := json.Marshal(&d.Changes[i])
		if err != nil {
			return fmt.Errorf("encode change of %s: %w", d.Changes[i].Object.Name, err)
		}
		_, _ = b.Write(text)
	}
	_, _ = b.WriteString("]}")
	return b.Flush()
}

// decodeDelta reads a delta, one change at a time.
func decodeDelta(r io.Reader) (sagefollow.Delta, error) {
	var d sagefollow.Delta
	dec := json.NewDecoder(r)
	if err := expect(dec, json.Delim('{')); err != nil {
		return d, err
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return d, fmt.Errorf("read key: %v: %w", err, ErrDelta)
		}
		switch key {
		case "full":
			err = dec.Decode(&d.Full)
		case "as_of":
			err = dec.Decode(&d.AsOf)
		case "era":
			err = dec.Decode(&d.Era)
		case "base":
			err = dec.Decode(&d.Base)
		case "changes":
			err = decodeChanges(dec, &d)
		default:
			err = dec.Decode(new(json.RawMessage)) // of a later version
		}
		if err != nil {
			return d, fmt.Errorf("read %v: %v: %w", key, err, ErrDelta)
		}
	}
	return d, expect(dec, json.Delim('}'))
}

func decodeChanges(dec *json.Decoder, d *sagefollow.Delta) error {
	start, err := dec.Token()
	if err != nil || start == nil {
		return err // null stands for no changes
	}
	if start != json.Delim('[') {
		return fmt.Errorf("%v in place of changes: %w", start, ErrDelta)
	}
	for dec.More() {
		var c sagefollow.Change
		if err := dec.Decode(&c); err != nil {
			return err
		}
		d.Changes = append(d.Changes, c)
	}
	return expect(dec, json.Delim(']'))
}

// expect reads a delimiter.
func expect(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if err != nil || got != want {
		return fmt.Errorf("%v, %v in place of %v: %w", got, err, want, ErrDelta)
	}
	return nil
}
