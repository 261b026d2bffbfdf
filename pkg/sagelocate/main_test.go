package sagelocate_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
