package sageclaims

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
)

// FuzzCommit checks that no request of another node makes Commit panic or write an object that can't be decoded.
func FuzzCommit(f *testing.F) {
	f.Add("claims/x", []byte(`{"op":"claim","account":"a","key":"1764700000123-x","claim_id":"c","fingerprint":"f","deadline":"2100-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, object string, entry []byte) {
		st := &sageobject.Memory{}
		rules := sageclaim.Rules{Bucket: time.Second, Shards: 2, Retention: time.Hour}
		s := &Service{Rules: rules, Committer: &sageclaim.Committer{Store: st}, Store: st, Self: "n0", Peers: func() []string { return nil }}
		if e, err := sageclaim.DecodeEntry(entry); err == nil {
			if key, err := sageclaim.ParseKey(e.Key); err == nil {
				object = rules.ObjectKey(e.Account, key)
			}
		}
		res, err := s.Commit(t.Context(), &claim.CommitRequest{Object: object, Entry: entry})
		s.Committer.Wait()
		if err != nil || res.GetError() != "" {
			return
		}
		if _, err := sageclaim.DecodeRecord(res.GetRecord()); err != nil {
			t.Fatal(err)
		}
		o, err := st.Get(t.Context(), object)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sageclaim.DecodeClaimLog(o.Value); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeUnknown(f *testing.F) {
	f.Add([]byte(`[{"account":"a","key":"k","claim_id":"c","state":"claimed"}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := decodeUnknown(b)
		for _, r := range list {
			if err == nil && r.Check() != nil {
				t.Fatalf("%+v", r)
			}
		}
	})
}

// BenchmarkAnswerCache measures the memory per cached answer of 300 bytes.
func BenchmarkAnswerCache(b *testing.B) {
	a := completed(strings.Repeat("x", 300)).Response
	h := answerCache{maxBytes: 8 << 20}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		h.put(fmt.Sprintf("%036d", n), encodeAnswer(a))
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(h.list.Len()), "B/answer")
	b.ReportMetric(float64(h.list.Len()), "answers")
	runtime.KeepAlive(&h)
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(encodeAnswer(completed("x").Response))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := decodeAnswer(b)
		if err == nil && (a.Status < 200 || a.Status > 599) {
			t.Fatalf("status %d", a.Status)
		}
	})
}
