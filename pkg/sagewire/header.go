package sagewire

// Names of the headers used between callers, routers and upstreams.
const (
	// HeaderOutcome carries the [Outcome] of a response.
	HeaderOutcome = "Sagestand-Outcome"
	// HeaderRequestID identifies one attempt of a request; an upstream echoes it.
	HeaderRequestID = "Sagestand-Request-Id"
	// HeaderDeadline is the instant after which the caller no longer waits, in RFC 3339 format with
	// fractions of a second.
	HeaderDeadline = "Sagestand-Deadline"
	// HeaderPriority is the name of a [Priority].
	HeaderPriority = "Sagestand-Priority"
	// HeaderChat identifies the returning chat to which a request belongs.
	HeaderChat = "Sagestand-Chat"
	// HeaderContext identifies a context that several chats share, such as a long common prompt.
	HeaderContext = "Sagestand-Context"
	// HeaderPlacement is the opaque placement token, set in responses and sent with the chat's next
	// request.
	HeaderPlacement = "Sagestand-Placement"
	// HeaderIdempotencyKey identifies a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun is set to "true" by an upstream, with the request's id echoed, to state that it did
	// not execute the request. No other response of an upstream counts as such a statement.
	HeaderNotRun = "Sagestand-Not-Run"
	// HeaderBootID identifies the process start of an upstream.
	HeaderBootID = "Sagestand-Boot-Id"
	// HeaderCachedTokens is the number of prompt tokens that an engine served from its prefix cache.
	HeaderCachedTokens = "Sagestand-Cached-Tokens"
	// HeaderPromptTokens is the number of prompt tokens of the request as the engine counted them.
	HeaderPromptTokens = "Sagestand-Prompt-Tokens"
	// HeaderUpstream names the upstream that served a response.
	HeaderUpstream = "Sagestand-Upstream"
)
