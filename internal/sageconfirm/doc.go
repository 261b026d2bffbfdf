// Package sageconfirm confirms two measures with real processes and the stand-ins: "exit", where a
// data centre is taken out of service under load and brought back, and "churn", where engines are
// killed and started again in turn. It says what the callers got and how much of their prompts was
// cached; the figures depend on the machine, so they confirm and don't replace the measures.
//
// # Usage
//
//	c := &sageconfirm.Run{Scenario: sageconfirm.ScenarioExit, Sagestand: "bin/sagestand", Sagebench: "bin/sagebench"}
//	sum, err := c.Do(ctx)
package sageconfirm
