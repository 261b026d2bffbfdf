// Package sagestandin holds small stand-ins for what stands outside the system: the platform
// (Object API, VM list, weight store), a model engine and an application service.
//
// They speak the protocols of docs/design/overview.md over HTTP, behave as the real ones are known
// to behave (late reports, cold starts, limited caches), and break on request: POST
// /standin/faults replaces the list of faults in force, see [Fault].
//
// # Usage
//
//	e := &sagestandin.Engine{Name: "e1", Slots: 8, CacheTokens: 10000}
//	srv := &http.Server{Handler: e.Handler()}
package sagestandin
