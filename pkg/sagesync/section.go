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
	d := digest{Revision: r.Current().Revision, Heard: r.heard, Evidence: r.evidence, Partial: r.part.digest()}
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
	var d delta
	if r.evidence.At.After(p.Evidence.At) {
		d.Evidence = r.evidence
	}
	if payload := budget - envelope; payload >= minPayload && r.Current().Revision > p.Revision {
		r.fill(&d, &p, payload)
	}
	if d.Evidence.At.IsZero() && d.Records == nil && d.Fragment == nil && d.Chunk == nil {
		return nil
	}
	if b := encode(&d); len(b) <= budget {
		return b
	}
	return nil
}

// fill adds the payload that the peer needs next.
func (r *Replica) fill(d *delta, p *digest, payload int) {
	from := p.Revision
	if p.Copy != nil && p.Copy.Done {
		from = p.Copy.Base
	}
	if p.Copy != nil && !p.Copy.Done {
		d.Chunk = r.chunkFor(p.Copy, p.Partial, payload)
		return
	}
	if from >= r.Current().Revision {
		return
	}
	if len(r.tail) == 0 || from+1 < r.tail[0].revision {
		d.Chunk = r.chunkFor(nil, p.Partial, payload)
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
