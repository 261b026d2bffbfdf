// Package sagesse reads server-sent events and returns complete events only.
//
// # Usage
//
//	r := &sagesse.Reader{R: bufio.NewReader(res.Body), MaxEventBytes: 1 << 20}
//	for {
//		e, err := r.Next()
//		if err != nil {
//			return err
//		}
//		w.Write(e.Raw)
//	}
//
// The end of the input is always reported as io.ErrUnexpectedEOF. [Reader.CleanEOF] reports whether
// it came between two events. Only the caller, which knows the framing of the body, can decide
// whether the stream may end there.
package sagesse
