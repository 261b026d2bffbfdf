package sagemesh

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/internal/sagerpc/heartbeat"
	"sagestand.example/sagestand/pkg/sagebrittle"
)

// packBrittle sets what a heartbeat says of brittle upstreams.
func packBrittle(m *heartbeat.Heartbeat, h *Heartbeat) {
	for _, a := range h.Brittle {
		m.Brittle = append(m.Brittle, &heartbeat.Brittle{Service: a.Service, MaxDeclines: uint32(a.MaxDeclines), AgeMillis: uint64(a.Age.Milliseconds())})
	}
	for _, r := range h.Limits {
		m.Limited, m.Limits = append(m.Limited, r.Upstream), append(m.Limits, uint32(r.Limit))
	}
}

// unpackBrittle is the reverse of packBrittle.
func unpackBrittle(h *Heartbeat, m *heartbeat.Heartbeat) error {
	if len(m.GetLimited()) != len(m.GetLimits()) {
		return fmt.Errorf("%d upstreams with %d limits: %w", len(m.GetLimited()), len(m.GetLimits()), ErrHeartbeat)
	}
	for _, b := range m.GetBrittle() {
		h.Brittle = append(h.Brittle, sagebrittle.Announcement{
			Service: b.GetService(), MaxDeclines: int(b.GetMaxDeclines()), Age: time.Duration(b.GetAgeMillis()) * time.Millisecond,
		})
	}
	for i, u := range m.GetLimited() {
		h.Limits = append(h.Limits, sagebrittle.Report{Upstream: u, Limit: int(m.GetLimits()[i])})
	}
	return nil
}
