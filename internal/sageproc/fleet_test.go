package sageproc

import (
	"context"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefleet"
	"sagestand.example/sagestand/internal/sagemembers"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sagemember"
)

// waitTimeout limits every wait. A successful run needs a fraction of it.
const waitTimeout = 40 * time.Second

// binDir is the directory where TestMain builds the programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sageproc")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	if err := readSources("../.."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "sagestand.example/sagestand/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// readSources reads every source file below root. The go command caches test results by the files that
// the test opens; without this, it would report the cached result for programs built from older
// sources.
func readSources(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.ReadFile(path)
		return err
	})
}

// fleetSize is the number of VMs of the deployment that the fleet stands for.
const fleetSize = 8

// startFleet starts a fleet in four data centres and waits until every node lists all nodes as serving.
func startFleet(t *testing.T, nodes int, edit func(*sagesettings.Settings)) *sagefleet.Fleet {
	t.Helper()
	l := sagefleet.NewLayout(nodes, 4, []string{"derby", "nottingham", "leicester", "lincoln"})
	for i := range l.Nodes {
		l.Nodes[i].Isolated.Rule = sagesettings.IsolatedQuorum
		if edit != nil {
			edit(&l.Nodes[i])
		}
	}
	f := &sagefleet.Fleet{
		Layout: l, Sagestand: filepath.Join(binDir, "sagestand"), Sagebench: filepath.Join(binDir, "sagebench"), Dir: t.TempDir(),
		EngineArgs: []string{"--token-micros", "40000"},
	}
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, f.StartStandins(ctx))
	require.NoError(t, f.StartNodes(ctx))
	// Under the quorum rule a node accepts tickets only after contact with most of the others.
	waitFor(t, "the first ticket is accepted", func() bool { return f.Submit(ctx, 0, l.FirstTicket(1)) == nil })
	for i := range l.Nodes {
		waitForView(t, f, i, "lists all nodes as serving", func(v *sagemembers.View) bool { return countServing(v) == len(l.Nodes) })
	}
	return f
}

// fetchView returns a node's view of the members, or an empty one if the node doesn't respond.
func fetchView(t *testing.T, f *sagefleet.Fleet, node int) *sagemembers.View {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	v := new(sagemembers.View)
	if err := f.Operator(node).Do(ctx, http.MethodGet, "/v1/nodes", nil, v); err != nil {
		return new(sagemembers.View)
	}
	return v
}

// waitForView polls a node's view until ok accepts it.
func waitForView(t *testing.T, f *sagefleet.Fleet, node int, condition string, ok func(*sagemembers.View) bool) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%s %s", f.Layout.Nodes[node].Node.Name, condition), func() bool { return ok(fetchView(t, f, node)) })
}

// waitFor polls ok and fails the test with condition when waitTimeout has passed.
func waitFor(t *testing.T, condition any, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		require.True(t, time.Now().Before(deadline), "not within %v: %v", waitTimeout, condition)
		time.Sleep(100 * time.Millisecond)
	}
}

// countServing returns the number of nodes that callers can be sent to.
func countServing(v *sagemembers.View) int {
	n := 0
	for _, x := range v.Nodes {
		if x.State == sagemember.Alive && x.Phase == sagemember.Serving {
			n++
		}
	}
	return n
}

// liveIncarnation returns the incarnation at a node's address that a view lists as alive or suspect.
func liveIncarnation(f *sagefleet.Fleet, v *sagemembers.View, node int) (uint64, bool) {
	for _, x := range v.Nodes {
		if x.Address == f.Layout.Nodes[node].Listen.Peer && (x.State == sagemember.Alive || x.State == sagemember.Suspect) && x.Phase != sagemember.Gone {
			return x.Incarnation, true
		}
	}
	return 0, false
}

// setFaults replaces the fault plan of the stand-in at addr.
func setFaults(t *testing.T, addr, plan string) {
	t.Helper()
	res, err := http.Post("http://"+addr+"/standin/faults", "application/json", strings.NewReader(plan))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, 2, res.StatusCode/100)
}
