// Package sagematrix tests a request that may run at most once against every fault, and every pair of faults,
// at every step. One table generates all cases, and they run in virtual time.
//
// Each cell runs two routers with the real entry, claims and dispatch services, an application that counts
// executions, a store, and a caller. The caller sends one booking through the first router, and resends it
// through the second until it knows the outcome. Connections are in-memory pipes. The faults are injected when
// the first send reaches the step. At the end all faults are removed, and the cell compares the application's
// executions with the outcome that the caller received for each send.
//
// The package contains only tests: the table is in table_test.go, the simulated environment in world_test.go,
// and mutant_test.go shows for each guard a cell that fails without it.
//
// # Usage
//
//	go test ./internal/sagematrix -run TestMatrix -v
package sagematrix
