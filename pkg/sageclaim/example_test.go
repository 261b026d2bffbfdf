package sageclaim_test

import (
	"context"
	"fmt"
	"time"

	"sagestand.example/sagestand/pkg/sageclaim"
	"sagestand.example/sagestand/pkg/sageobject"
)

func Example() {
	rules := sageclaim.Rules{Bucket: 2 * time.Second, Shards: 4, Retention: 24 * time.Hour, MaxAhead: time.Minute}
	key, err := sageclaim.ParseKey("1764700000123-box-17")
	if err != nil {
		fmt.Println(err)
		return
	}
	c := &sageclaim.Committer{Store: &sageobject.Memory{}, BatchWindow: 20 * time.Millisecond}
	for _, id := range []string{"first", "second"} {
		rec, err := c.Commit(context.Background(), rules.ObjectKey("haller", key), sageclaim.Entry{
			Op: sageclaim.OpClaim, Account: "haller", Key: key.Text, ClaimID: id,
			Fingerprint: sageclaim.Fingerprint("POST", "/bookings", []byte("{}")), Deadline: time.Now().Add(time.Minute),
		})
		fmt.Println(id, rec.ClaimID == id, err)
	}
	// Output:
	// first true <nil>
	// second false <nil>
}
