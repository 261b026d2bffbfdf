// Package sagecaller is a client of the system for tests, measurements and the demo. It asks a router
// where to connect, caches the answer until it expires, sends chats and service calls, and compares
// each response with the expected one. Missing or duplicated parts, and parts of other responses, show
// as a mismatch.
//
// # Usage
//
//	c := &sagecaller.Caller{Entries: []string{"127.0.0.1:7101"}, Key: key, HTTP: http.DefaultClient}
//	result := c.Chat(ctx, &sagestandin.ChatRequest{Model: "assist", Messages: messages, Stream: true}, opt)
//	if result.Outcome != sagewire.Complete {
//		fmt.Println(result.Outcome, result.Refusal)
//	}
package sagecaller
