package sagesync

import (
	"fmt"

	"sagestand.example/sagestand/pkg/sagegossip"
)

var _ sagegossip.Section = (*Replica)(nil)

// envelope bounds what a delta needs beside its payload, in bytes: mainly the names of two things of
// the greatest length, or of a fragment's whole.
const envelope = 800

// minPayload is the least payload that is worth sending.
const minPayload = 64

// Name implements [sagegossip.Section].
func (r *Replica) Name() string { return SectionName }

// Digest implements [sagegossip.Section].
func (r *Replica) Digest() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := digest{Revision: r.Current().Revision, Heard: r.heard, Evidence: r.evidence, Partial: r.part.digest(), Contacts: r.ownContacts()}
	if r.copying != nil {
		d.Copy = r.copying.digest()
	}
	return encode(&d)
}

// Delta implements [sagegossip.Section]: the records that the peer lacks if the tail reaches back to
// them, else the next chunk of the state. What the peer's digest says is taken in as hearsay.
func (r *Replica) Delta(peer []byte, budget int) []byte {
	p := decodeDigest(peer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hear(max(p.Revision, p.Heard))
	r.confirm(p.Evidence)
	r.noteContacts(p.Contacts)
	var d delta
	if r.evidence.At.After(p.Evidence.At) {
		d.Evidence = r.evidence
	}
	payload := budget - envelope
	if payload >= minPayload && r.Current().Revision > p.Revision {
		if r.needsCopy(&p) {
			return r.packChunk(d, &p, budget)
		}
		r.fillRecords(&d, &p, payload)
	}
	if d.Evidence.At.IsZero() && d.Records == nil && d.Fragment == nil {
		return nil
	}
	if b := encode(&d); len(b) <= budget {
		return b
	}
	return nil
}

// from returns the revision above which a peer needs records.
func (p *digest) from() uint64 {
	if p.Copy != nil && p.Copy.Done {
		return p.Copy.Base
	}
	return p.Revision
}

// needsCopy reports whether a peer needs the next chunk of the state: it has begun a copy, or the
// tail doesn't reach back to what it has.
func (r *Replica) needsCopy(p *digest) bool {
	if p.Copy != nil && !p.Copy.Done {
		return true
	}
	from := p.from()
	return from < r.Current().Revision && (len(r.tail) == 0 || from+1 < r.tail[0].revision)
}

// packChunk returns d with as much of the next chunk as fits the budget once compressed.
func (r *Replica) packChunk(d delta, p *digest, budget int) []byte {
	c := p.Copy
	if c != nil && c.Done {
		c = nil
	}
	for _, ratio := range packRatios {
		d.Chunk = r.chunkFor(c, p.Partial, (budget-envelope)*ratio)
		if b := pack(encode(&d)); len(b) <= budget {
			return b
		}
	}
	return nil
}

// fillRecords adds the records that the peer lacks, or a fragment of the first.
func (r *Replica) fillRecords(d *delta, p *digest, payload int) {
	from := p.from()
	if from >= r.Current().Revision {
		return
	}
	size := 0
	for _, rec := range r.tail[from+1-r.tail[0].revision:] {
		if size += len(rec.raw) + 1; size > payload {
			if len(d.Records) == 0 {
				d.Fragment = cutFragment(fmt.Sprintf("record/%d", rec.revision), rec.raw, p.Partial, payload*3/4)
			}
			return
		}
		d.Records = append(d.Records, rec.raw)
	}
}

// Merge implements [sagegossip.Section].
func (r *Replica) Merge(b []byte) error {
	d, err := decodeDelta(b)
	if err != nil {
		return fmt.Errorf("merge: %w", err)
	}
	raws := d.Records
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Fragment != nil {
		if whole := r.part.take(d.Fragment); whole != nil {
			raws = append(raws, whole)
		}
	}
	recs := make([]record, 0, len(raws))
	for _, raw := range raws {
		rec, err := decodeRecord(raw)
		if err != nil {
			return fmt.Errorf("merge: %w", err)
		}
		recs = append(recs, rec)
	}
	if d.Chunk != nil {
		if err := r.mergeChunk(d.Chunk); err != nil {
			return fmt.Errorf("merge: %w", err)
		}
	}
	if r.copying != nil {
		r.copying.follow(recs)
		r.finishCopy()
	}
	r.applyRecords(recs)
	r.confirm(d.Evidence)
	return nil
}
