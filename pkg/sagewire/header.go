package sagewire

// Header names used between callers, routers and upstreams.
const (
	// HeaderOutcome carries the [Outcome] of a response.
	HeaderOutcome = "Sagestand-Outcome"
	// HeaderRequestID names one attempt of one request; an upstream echoes it.
	HeaderRequestID = "Sagestand-Request-Id"
	// HeaderDeadline is the instant, RFC 3339 with fractions, after which the caller no longer waits.
	HeaderDeadline = "Sagestand-Deadline"
	// HeaderPriority is the name of a [Priority].
	HeaderPriority = "Sagestand-Priority"
	// HeaderChat names the returning chat that a request belongs to.
	HeaderChat = "Sagestand-Chat"
	// HeaderContext names a context that many chats share, such as a long common prompt.
	HeaderContext = "Sagestand-Context"
	// HeaderPlacement is the opaque placement token, in answers and in the chat's next request.
	HeaderPlacement = "Sagestand-Placement"
	// HeaderIdempotencyKey names a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun, with the value "true" and the request's id echoed, is an upstream's own word
	// that it did not execute the request. Nothing else an upstream answers is taken for that.
	HeaderNotRun = "Sagestand-Not-Run"
	// HeaderBootID names the process start of an upstream.
	HeaderBootID = "Sagestand-Boot-Id"
	// HeaderCachedTokens is the number of prompt tokens that an engine served from its prefix cache.
	HeaderCachedTokens = "Sagestand-Cached-Tokens"
	// HeaderPromptTokens is the number of prompt tokens of the request as the engine counted them.
	HeaderPromptTokens = "Sagestand-Prompt-Tokens"
	// HeaderUpstream names the upstream that served a response.
	HeaderUpstream = "Sagestand-Upstream"
)
