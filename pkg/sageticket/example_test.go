package sageticket_test

import (
	"context"
	"fmt"

	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sageticket"

	"sagestand.example/sagestand/pkg/sageconfig"
)

func ExampleAcceptor_Submit() {
	ctx := context.Background()
	a := &sageticket.Acceptor{Store: new(sageobject.Memory)}
	t, err := sageconfig.DecodeTicket([]byte(`{"number": 7, "changes": [
		{"thing": {"kind": "data_centre", "name": "derby"}, "data_centre": {"in_service": false}}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	accepted, err := a.Submit(ctx, t)
	fmt.Println(accepted.Number, accepted.Revision, accepted.Repeated, err)
	accepted, err = a.Submit(ctx, t)
	fmt.Println(accepted.Number, accepted.Revision, accepted.Repeated, err)
	// Output:
	// 7 1 false <nil>
	// 7 1 true <nil>
}
