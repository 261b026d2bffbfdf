package sagerelay

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sagestand.example/sagestand/internal/sagesse"
)

func BenchmarkPassEvent(b *testing.B) {
	w := httptest.NewRecorder()
	j := &job{w: w}
	flush := http.NewResponseController(w)
	event := "id: 1\ndata: " + strings.Repeat("x", 52) + "\n\n"
	b.ReportAllocs()
	for b.Loop() {
		r := &sagesse.Reader{R: bufio.NewReaderSize(strings.NewReader(event), readAhead), MaxEventBytes: maxEvent}
		e, err := r.Next()
		if err != nil {
			b.Fatal(err)
		}
		if err := j.passEvent(e, flush); err != nil {
			b.Fatal(err)
		}
		w.Body.Reset()
	}
}
