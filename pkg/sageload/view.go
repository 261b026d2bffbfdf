package sageload

import "time"

// View is what a router knows of one upstream's load.
type View struct {
	Upstream string
	// InFlight estimates the requests of all routers: the last report plus own dispatches since.
	InFlight float64
	// Cap is the upstream's current cap, see [Ramp].
	Cap int
	// Free is the number of this router's unused units.
	Free int
	// Known is false if there is no recent report. Unknown load doesn't mean that the upstream is idle.
	Known           bool
	BootID          string
	CacheGeneration uint64
}

// Report is an upstream's load report, the body of GET /v1/load.
type Report struct {
	BootID   string `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	// Capacity is the number of concurrent requests that the upstream says it can take now.
	Capacity        int    `json:"bears"`
	CacheGeneration uint64 `json:"cache_generation"`
	// AsOf is the upstream's own clock when it took the figures. It is only compared with other values
	// of the same upstream.
	AsOf time.Time `json:"as_of"`
	// Completed counts the requests that have completed since the boot.
	Completed uint64 `json:"completed"`
}
