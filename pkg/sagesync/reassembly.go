package sagesync

// reassembler collects the fragments of one record or entry. Fragments that don't continue the bytes
// received so far, such as repeated or reordered ones, are ignored; the next digest asks for the right
// one.
type reassembler struct {
	id  string
	buf []byte
}

// digest describes the bytes received so far; nil if there are none.
func (r *reassembler) digest() *partialDigest {
	if r.id == "" {
		return nil
	}
	return &partialDigest{ID: r.id, Received: len(r.buf)}
}

// add appends f, and returns the complete data after the last fragment, nil before.
func (r *reassembler) add(f *fragment) []byte {
	if f.ID != r.id {
		if f.Offset != 0 {
			return nil
		}
		*r = reassembler{id: f.ID}
	}
	if f.Offset != len(r.buf) {
		return nil
	}
	r.buf = append(r.buf, f.Bytes...)
	if len(r.buf) < f.Total {
		return nil
	}
	data := r.buf
	*r = reassembler{}
	return data
}

// nextFragment returns the next fragment of data, of at most size bytes, for a peer that has received
// p.
func nextFragment(id string, data []byte, p *partialDigest, size int) *fragment {
	have := 0
	if p != nil && p.ID == id && p.Received > 0 && p.Received < len(data) {
		have = p.Received
	}
	end := min(len(data), have+size)
	return &fragment{ID: id, Offset: have, Total: len(data), Bytes: data[have:end]}
}
