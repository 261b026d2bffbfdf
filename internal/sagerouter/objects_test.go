package sagerouter

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagequarantine"
)

// Fuzzing for the decoders of the objects that nodes write themselves. Another writer may have written others of their kinds.
func FuzzOwnObjects(f *testing.F) {
	claim, err := json.Marshal(&sageorigin.Claim{Service: "app", Era: 1, Sole: true, Version: "v1", Routes: []string{"r"}, AsOf: 7})
	require.NoError(f, err)
	nested := strings.Repeat("[", 9900) + strings.Repeat("]", 9900)
	for _, text := range []string{
		string(claim), "false", "null", "{}", "[]", "5", "1e400", "\"\xff\"", nested, `{"x":` + nested + `}`, "", "nul", `{"service":5,"with":[5],"mesh":{},"records":7}`,
		`{"suspect":"x","with":["part-0000000000000001","x",""],"by":"vm1"}`, `{"mesh":"127.0.0.1:1","link_mbps":1e400}`,
	} {
		f.Add([]byte(text), "00000000000000ff")
	}
	f.Fuzz(func(t *testing.T, text []byte, name string) {
		for _, o := range []sagefollow.Object{{Name: name, Spec: text}, {Name: name, Spec: text, Status: text}, {Name: name, Status: text}} {
			if c, err := decodeClaim(&o); err == nil {
				require.NoError(t, c.Check())
			}
			q, err := decodeQuarantine(&o)
			_, errName := sagequarantine.ParseName(name)
			require.Equal(t, errName == nil, err == nil, "the name alone decides")
			for _, c := range q.Companions {
				require.Equal(t, sagequarantine.Part, c.Kind)
			}
			_ = json.Unmarshal(text, new(nodeEntry))
			var s sageorigin.Snapshot
			if json.Unmarshal(text, &s) == nil {
				_, _ = s.Records(sageclock.Now())
			}
		}
	})
}

// Prevents a claim whose status can't be read from counting as that of its creation.
func TestClaimWithUnreadableStatus(t *testing.T) {
	spec, err := json.Marshal(&sageorigin.Claim{Service: "app", Era: 1, Sole: true, Version: "v1", Routes: []string{"r"}, AsOf: 7})
	require.NoError(t, err)
	_, err = decodeClaim(&sagefollow.Object{Name: "c", Spec: spec})
	require.NoError(t, err)
	_, err = decodeClaim(&sagefollow.Object{Name: "c", Spec: spec, Status: json.RawMessage("false")})
	require.Error(t, err)
}
