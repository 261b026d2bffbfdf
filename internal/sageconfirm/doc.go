// Package sageconfirm runs two scenarios of package sagemeasure with real processes and the stand-ins:
// "exit" takes a data centre out of service under load and puts it back, "churn" kills and restarts
// engines in turn. It reports the outcomes that callers received and the fraction of prompt tokens that
// were cached. The figures depend on the machine, so they confirm the measurements in virtual time but
// don't replace them.
//
// # Usage
//
//	c := &sageconfirm.Run{Scenario: sageconfirm.ScenarioExit, Sagestand: "bin/sagestand", Sagebench: "bin/sagebench"}
//	sum, err := c.Do(ctx)
package sageconfirm
