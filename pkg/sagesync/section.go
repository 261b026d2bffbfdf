package sagesync

import (
	"fmt"

	"sagestand.example/sagestand/pkg/sagegossip"
)

var _ sagegossip.Section = (*Replica)(nil)

// envelopeBytes bounds the size of a delta without its payload: mainly two entry keys of the greatest
// length, or the ID of a fragment.
const envelopeBytes = 800

// minPayloadBytes is the smallest payload that is worth sending.
const minPayloadBytes = 64

// Name implements [sagegossip.Section].
func (r *Replica) Name() string { return SectionName }

// Digest implements [sagegossip.Section].
func (r *Replica) Digest() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := digest{Revision: r.Current().Revision, Observed: r.observed, Evidence: r.evidence, Partial: r.reassembly.digest(), Contacts: r.ownContacts()}
	if r.transfer != nil {
		d.Transfer = r.transfer.digest()
	}
	return encode(&d)
}

// Delta implements [sagegossip.Section]. It returns the records that the peer lacks if the tail holds
// them all, and otherwise the next chunk of the state. It also merges the revisions, evidence and
// contacts in the peer's digest.
func (r *Replica) Delta(peer []byte, budget int) []byte {
	p := decodeDigest(peer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(max(p.Revision, p.Observed))
	r.confirm(p.Evidence)
	r.mergeContacts(p.Contacts)
	var d delta
	if r.evidence.At.After(p.Evidence.At) {
		d.Evidence = r.evidence
	}
	payload := budget - envelopeBytes
	if payload >= minPayloadBytes && r.Current().Revision > p.Revision {
		if r.needsChunk(&p) {
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

// baseRevision returns the revision above which the peer needs records.
func (p *digest) baseRevision() uint64 {
	if p.Transfer != nil && p.Transfer.Done {
		return p.Transfer.Base
	}
	return p.Revision
}

// needsChunk reports whether the peer needs the next chunk of the state: it has begun a transfer, or
// the tail doesn't reach back to its revision.
func (r *Replica) needsChunk(p *digest) bool {
	if p.Transfer != nil && !p.Transfer.Done {
		return true
	}
	base := p.baseRevision()
	return base < r.Current().Revision && (len(r.tail) == 0 || base+1 < r.tail[0].revision)
}

// packChunk returns d with as much of the next chunk as fits the budget after compression.
func (r *Replica) packChunk(d delta, p *digest, budget int) []byte {
	t := p.Transfer
	if t != nil && t.Done {
		t = nil
	}
	for _, ratio := range packRatios {
		d.Chunk = r.nextChunk(t, p.Partial, (budget-envelopeBytes)*ratio)
		if b := pack(encode(&d)); len(b) <= budget {
			return b
		}
	}
	return nil
}

// fillRecords adds the records that the peer lacks, or a fragment of the first if that exceeds the
// payload.
func (r *Replica) fillRecords(d *delta, p *digest, payload int) {
	base := p.baseRevision()
	if base >= r.Current().Revision {
		return
	}
	size := 0
	for _, rec := range r.tail[base+1-r.tail[0].revision:] {
		if size += len(rec.raw) + 1; size > payload {
			if len(d.Records) == 0 {
				d.Fragment = nextFragment(fmt.Sprintf("record/%d", rec.revision), rec.raw, p.Partial, payload*3/4)
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
		if data := r.reassembly.add(d.Fragment); data != nil {
			raws = append(raws, data)
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
	if r.transfer != nil {
		r.transfer.applyRecords(recs)
		r.finishTransfer()
	}
	r.applyRecords(recs)
	r.confirm(d.Evidence)
	return nil
}
