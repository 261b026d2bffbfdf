package sageload

import "time"

// View is what a router knows of one upstream's load.
type View struct {
	Upstream string
	// InFlight estimates the requests of all routers: last report plus own dispatches since.
	InFlight float64
	// Cap is what the upstream may bear now, ramp applied.
	Cap int
	// Free is this router's unused in-flight allotment.
	Free int
	// Known is false after too long a silence, which is not the same as idle.
	Known           bool
	BootID          string
	CacheGeneration uint64
}

// Report is an upstream's own word about its load, as GET /v1/load gives it.
type Report struct {
	BootID   string `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	// Bears is the number of requests at once that the upstream says it can take now.
	Capacity        int    `json:"bears"`
	CacheGeneration uint64 `json:"cache_generation"`
	// AsOf is the upstream's own clock when it took the figures; only compared with itself.
	AsOf time.Time `json:"as_of"`
	// Completed counts requests since the boot.
	Completed uint64 `json:"completed"`
}
