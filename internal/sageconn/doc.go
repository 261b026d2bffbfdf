// Package sageconn tells for each HTTP round trip whether anything of its request may have left.
//
// [Wrap] puts a [Conn] around every connection that a transport dials, and a [Tracker] follows one
// round trip by its httptrace hook. [Tracker.Seal] answers "was nothing sent?" once and for all: a
// yes forbids every later write of that use, so a refusal built on it stays true.
//
// # Usage
//
//	t := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
//		c, err := dial(ctx, network, addr)
//		if err != nil {
//			return nil, err
//		}
//		return sageconn.Wrap(c), nil
//	}}
//	sent := new(sageconn.Tracker)
//	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.Got})
package sageconn
