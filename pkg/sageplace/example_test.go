package sageplace_test

import (
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageplace"
)

func Example() {
	ups := []sageplace.Upstream{{Name: "derby-1", Weight: 8}, {Name: "derby-2", Weight: 8}, {Name: "leys-1", Weight: 8}}
	t, l := sageplace.NewTable(ups), sageplace.NewLoads(len(ups))
	l.Refresh(func(int) sageplace.Load { return sageplace.Load{InFlight: 2, Cap: 8, Free: 4, Known: true} })
	bound, fresh := sageplace.LoadBounds(sageplace.DefaultLoadBound)
	p := &sageplace.Placer[*sageplace.WidthByLoad]{
		LoadBound: bound, UncachedLoadBound: fresh, WidthPolicy: sageplace.NewWidthByLoad(64),
	}
	now := time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)
	s := sageplace.TokenSigner{Keys: [][]byte{[]byte("shared by all VMs")}}

	token := s.Sign("depot", "chat-1", sageplace.Location{Upstream: sageplace.Key("leys-1")}, now.Add(time.Hour))
	place, ok := s.Verify(token, "depot", "chat-1", now)
	c := p.Choose(now, t, l, &sageplace.Query{Chat: sageplace.Key("chat-1"), Location: place})
	fmt.Println(ok, ups[c.Index].Name)
	// Output: true leys-1
}
