// Package sagecaller is a caller of the system for tests, measurements and the demo. It asks where
// to connect, keeps that answer until its deadline, sends chats and service calls, and checks each
// answer against the one that belongs to its request: a missing, a foreign or a doubled piece shows.
//
// # Usage
//
//	c := &sagecaller.Caller{Entries: []string{"127.0.0.1:7101"}, Key: key, HTTP: http.DefaultClient}
//	end := c.Chat(ctx, &sagestandin.ChatRequest{Model: "assist", Messages: messages, Stream: true}, opt)
//	if end.Outcome != sagewire.Complete {
//		fmt.Println(end.Outcome, end.Refusal)
//	}
package sagecaller
