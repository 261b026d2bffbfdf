package sageconfig_test

import (
	"fmt"

	"sagestand.example/sagestand/pkg/sageconfig"
)

func ExampleState_Apply() {
	derby := sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"}
	out := sageconfig.Entry{TicketNumber: 8, Change: sageconfig.Change{Key: derby, DataCentre: &sageconfig.DataCentre{}}}
	in := sageconfig.Entry{TicketNumber: 7, Change: sageconfig.Change{Key: derby, DataCentre: &sageconfig.DataCentre{InService: true}}}

	s := sageconfig.NewState()
	fmt.Println(s.Apply(out), s.Apply(in), s.Apply(out))
	dc, _ := s.DataCentre("derby")
	fmt.Println(dc.InService)
	// Output:
	// true false false
	// false
}
