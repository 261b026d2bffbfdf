package sagerelay

import "sagestand.example/sagestand/internal/sagelog"

// allowRetry reports whether the request may be sent once more, and counts that send. mayRun says that an upstream may have
// executed the request or still execute it.
func (j *job) allowRetry(mayRun bool, sends int, cause string) bool {
	d := j.s.Fleet.AllowRetry(j.serviceName, mayRun)
	msg, outcome := "Retry allowed.", "allowed"
	if d.Denied != "" {
		msg, outcome = "Retry denied.", string(d.Denied)
	}
	j.s.Log.Limited(sagelog.KindRetry, msg, "id", j.meta.ID, "service", j.serviceName, "denied", string(d.Denied), "sends", sends, "cause", cause,
		"tokens", d.Usage.Tokens, "capacity", d.Usage.Capacity, "per_second", d.Usage.SlackPerSecond, "nodes", d.Nodes, "since_start_ms", d.SinceStart.Milliseconds())
	j.s.Metrics.GetOrCreateCounter(`sagestand_retries_total{service="` + j.serviceName + `",outcome="` + outcome + `"}`).Inc()
	return d.Denied == ""
}
