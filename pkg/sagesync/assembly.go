package sagesync

// assembly collects the fragments of one whole. Fragments that don't follow on what is held, such as
// repeated or reordered ones, are passed over; the next digest asks for the right one.
type assembly struct {
	of  string
	buf []byte
}

// digest returns what the assembly holds, or nil.
func (a *assembly) digest() *partial {
	if a.of == "" {
		return nil
	}
	return &partial{Of: a.of, Have: len(a.buf)}
}

// take adds f and returns the whole once it is complete.
func (a *assembly) take(f *fragment) []byte {
	if f.Of != a.of {
		if f.Offset != 0 {
			return nil
		}
		*a = assembly{of: f.Of}
	}
	if f.Offset != len(a.buf) {
		return nil
	}
	a.buf = append(a.buf, f.Bytes...)
	if len(a.buf) < f.Total {
		return nil
	}
	whole := a.buf
	*a = assembly{}
	return whole
}

// cutFragment returns the next fragment of a whole for a peer that holds p, at most size bytes.
func cutFragment(of string, whole []byte, p *partial, size int) *fragment {
	have := 0
	if p != nil && p.Of == of && p.Have > 0 && p.Have < len(whole) {
		have = p.Have
	}
	end := min(len(whole), have+size)
	return &fragment{Of: of, Offset: have, Total: len(whole), Bytes: whole[have:end]}
}
