// Package sagestandin provides small stand-ins for external systems: the platform (Object API, VM list and
// weight store), a model engine and an application service.
//
// They serve the protocols of docs/design/overview.md over HTTP and imitate the behaviour of the real systems,
// such as late reports, cold starts and limited caches. They can inject faults: POST /standin/faults replaces
// the active faults, see [Fault].
//
// # Usage
//
//	e := &sagestandin.Engine{Name: "e1", Slots: 8, CacheTokens: 10000}
//	srv := &http.Server{Handler: e.Handler()}
package sagestandin
