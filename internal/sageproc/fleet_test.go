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

// limit bounds every wait; a healthy run needs a fraction of it.
const limit = 40 * time.Second

// bin is where TestMain builds the programs.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sageproc")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
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

// readSources opens every source file below root. The go command caches a test's verdict by the files
// that the test opens; without this, it would report the verdict of programs built earlier.
func readSources(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.ReadFile(path)
		return err
	})
}

// eight is the size of the fleets that stand for today's.
const eight = 8

// start runs a fleet over four data centres until every node knows all.
func start(t *testing.T, nodes int, edit func(*sagesettings.Settings)) *sagefleet.Fleet {
	t.Helper()
	l := sagefleet.NewLayout(nodes, 4, []string{"derby", "nottingham", "leicester", "lincoln"})
	for i := range l.Nodes {
		l.Nodes[i].Isolated.Rule = sagesettings.IsolatedQuorum
		if edit != nil {
			edit(&l.Nodes[i])
		}
	}
	f := &sagefleet.Fleet{
		Layout: l, Sagestand: filepath.Join(bin, "sagestand"), Sagebench: filepath.Join(bin, "sagebench"), Dir: t.TempDir(),
		EngineArgs: []string{"--token-micros", "40000"},
	}
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	require.NoError(t, f.StartStandins(ctx))
	require.NoError(t, f.StartNodes(ctx))
	// Under the quorum rule a node accepts once it has met most of the others.
	eventually(t, "the first ticket is accepted", func() bool { return f.Submit(ctx, 0, l.FirstTicket(1)) == nil })
	for i := range l.Nodes {
		until(t, f, i, "knows all nodes", func(v *sagemembers.View) bool { return serving(v) == len(l.Nodes) })
	}
	return f
}

// view returns a node's view, or an empty one while it doesn't answer.
func view(t *testing.T, f *sagefleet.Fleet, node int) *sagemembers.View {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	v := new(sagemembers.View)
	if err := f.Operator(node).Do(ctx, http.MethodGet, "/v1/nodes", nil, v); err != nil {
		return new(sagemembers.View)
	}
	return v
}

// until polls a node's view.
func until(t *testing.T, f *sagefleet.Fleet, node int, what string, ok func(*sagemembers.View) bool) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s %s", f.Layout.Nodes[node].Node.Name, what), func() bool { return ok(view(t, f, node)) })
}

// eventually polls; what is printed when the limit passes.
func eventually(t *testing.T, what any, ok func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		require.True(t, time.Now().Before(end), "not within %v: %v", limit, what)
		time.Sleep(100 * time.Millisecond)
	}
}

// serving counts the nodes that callers may be sent to.
func serving(v *sagemembers.View) int {
	n := 0
	for _, x := range v.Nodes {
		if x.State == sagemember.Alive && x.Phase == sagemember.Serving {
			n++
		}
	}
	return n
}

// live returns the incarnation that a view holds for live at a node's address.
func live(f *sagefleet.Fleet, v *sagemembers.View, node int) (uint64, bool) {
	for _, x := range v.Nodes {
		if x.Address == f.Layout.Nodes[node].Listen.Peer && (x.State == sagemember.Alive || x.State == sagemember.Suspect) && x.Phase != sagemember.Gone {
			return x.Incarnation, true
		}
	}
	return 0, false
}

// faults sets the faults of a stand-in.
func faults(t *testing.T, addr, plan string) {
	t.Helper()
	res, err := http.Post("http://"+addr+"/standin/faults", "application/json", strings.NewReader(plan))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, 2, res.StatusCode/100)
}
