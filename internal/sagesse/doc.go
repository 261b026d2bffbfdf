// Package sagesse reads server-sent events so that half an event is never passed on.
//
// # Usage
//
//	r := &sagesse.Reader{R: bufio.NewReader(res.Body), Max: 1 << 20}
//	for {
//		e, err := r.Next()
//		if err != nil {
//			return err
//		}
//		w.Write(e.Raw)
//	}
//
// The end of the input comes as io.ErrUnexpectedEOF, also between two events: whether a stream may
// end there is known to the reader's caller, which knows the framing of the body.
package sagesse
