package sagerouter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
)

// With a line for each pair of nodes, the start of 300 nodes wrote 90,000 log lines before the first request.
func TestFleetStartLogsFewLines(t *testing.T) {
	var b bytes.Buffer
	p := &peerLog{DataCentre: "dc0", Log: sagelog.New(&b, "vm0")}
	for i := range 300 {
		m := sagemesh.Member{Address: fmt.Sprint(i), Identity: sagemesh.Identity{Node: fmt.Sprint("vm", i), DataCentre: fmt.Sprint("dc", i%6)}}
		p.Joined(m)
		if i < 12 {
			p.Lost(m)
		}
	}
	p.Flush()
	p.Flush()
	require.Equal(t, 50+2+5, strings.Count(b.String(), "\n"))
	require.Contains(t, b.String(), `peer=vm6`, "nodes of the same data centre are logged one by one")
	require.Contains(t, b.String(), "data_centre=dc3 joined=50 unresponsive=2")
}
