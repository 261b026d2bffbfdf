// Package lab starts nodes of the system as processes before a store and runners of its own, and records what happens.
//
// # Usage
//
//	l, err := lab.New(os.Stdout)
//	defer l.Close()
//	r, err := l.StartRunner("app", "i-1", "v1", handler)
//	r.Register("ready")
//	err = l.StartNodes(ctx, 1)
//	l.Record("sent", "request 1")
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/platform/standin"
)

// Host and Key are those of all routes and callers.
const (
	Host = "ficu95.example"
	Key  = "n2ctnfzs989anu6wsjnb"
)

// zones are those of the nodes and runners, by turns.
var zones = []string{"graz-nord", "graz-sued", "leoben"}

func zone(i int) string { return zones[i%len(zones)] }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Unable = 2
)

// Times of the start and the end of a node.
const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	readyCall    = time.Second
)

// Node is the process of one node.
type Node struct {
	Name, Entry, Readiness, Mesh string

	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	watches  atomic.Int64 // calls to the store that wait for a change of the runners
	polls    atomic.Int64 // other calls to the store for the runners
}

// Watches returns how many calls the node has made that wait for a change of the runners, and how many others for them.
func (n *Node) Watches() (waiting, others int64) { return n.watches.Load(), n.polls.Load() }

// Signal sends a signal to the process.
func (n *Node) Signal(sig os.Signal) error { return n.cmd.Process.Signal(sig) }

// Lab holds what a case has started.
type Lab struct {
	Store standin.Store
	Nodes []*Node

	dir     string
	runners int
	record  io.Writer
	begun   time.Time
	mu      sync.Mutex
	servers []*http.Server
}

// New creates a lab that writes its record to w. Settings and logs lie in a temporary folder.
func New(w io.Writer) (*Lab, error) {
	dir, err := os.MkdirTemp("", "sagestand-review-")
	if err != nil {
		return nil, fmt.Errorf("create temporary folder: %w", err)
	}
	return &Lab{dir: dir, record: w, begun: time.Now()}, nil
}

// Record writes a line of the record.
func (l *Lab) Record(what, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f s  %-9s %s\n", time.Since(l.begun).Seconds(), what, fmt.Sprintf(format, args...))
}

// Serve serves on a free port of a loopback address and returns the address.
func (l *Lab) Serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h}
	l.mu.Lock()
	l.servers = append(l.servers, srv)
	l.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with Close
	return ln.Addr().String(), nil
}

// Runner is a registered runner.
type Runner struct {
	ID, Service, Version string

	lab           *Lab
	address, zone string
	born          int64
}

// Register writes the entry of the runner with a state.
func (r *Runner) Register(state string) {
	r.lab.Store.Put("servers", r.ID, map[string]any{
		"service": r.Service, "address": r.address, "zone": r.zone, "version": r.Version, "slots": 64, "state": state, "cold_left_ms": 0, "sequence": 1, "born": r.born,
	})
	r.lab.Record("entry", "%s %s %s is %s", r.ID, r.Service, r.Version, state)
}

// StartRunner starts a runner of a service, which isn't registered yet. Requests for another instance get 421, as the pages say; h gets
// the others.
func (l *Lab) StartRunner(service, id, version string, h http.HandlerFunc) (*Runner, error) {
	address, err := l.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Runner-Id", id)
		switch r.URL.Path {
		case "/healthz":
			return
		case "/api/kv-list":
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write([]byte(`{"epoch":1,"next":0,"held":[]}`)) // fails only if the caller has left
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h(w, r)
	}))
	if err != nil {
		return nil, err
	}
	l.runners++
	return &Runner{ID: id, Service: service, Version: version, lab: l, address: address, zone: zone(l.runners), born: time.Now().UnixMilli()}, nil
}

// Configure writes the configuration with a route for resumable streams to a service of engines.
func (l *Lab) Configure(version int, prefix, service string) {
	l.Store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-stream", "host": Host, "path_prefix": prefix, "kind": "stream", "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 1,
			"service": service, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 600,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 10.0,
			"engine": map[string]any{"slots": 64, "kv_capacity": 424944},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{Key}, "priority": 1}},
	})
}

// ports are those of a node's listeners, by their names in the settings. All nodes have the same ones, as on the platform.
var ports = map[string]int{"entry": 8227, "readiness": 8220, "directory": 8224, "operator": 8229, "mesh": 7340}

// maxNets is the number of loopback nets that are tried.
const maxNets = 200

// freeNet draws a loopback net in which the ports of the first address are free, and returns the beginning of its addresses.
func freeNet() (string, error) {
	for range maxNets {
		net := fmt.Sprintf("127.91.%d.", 1+rand.IntN(maxNets))
		if netIsFree(net + "1") {
			return net, nil
		}
	}
	return "", errors.New("no loopback net is free")
}

func netIsFree(ip string) bool {
	for _, port := range ports {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// StartNodes starts nodes with the command of the deploy file and waits until all are ready.
func (l *Lab) StartNodes(ctx context.Context, n int) error {
	net, err := freeNet()
	if err != nil {
		return err
	}
	for i := range n {
		if err := l.addNode(i, fmt.Sprint(net, i+1)); err != nil {
			return err
		}
	}
	for _, node := range l.Nodes {
		if err := awaitReady(ctx, node); err != nil {
			return err
		}
		l.Record("ready", "%s entry %s", node.Name, node.Entry)
	}
	return nil
}

// addNode writes the settings of a node as deploy/settings.json.tmpl renders them, and starts its process.
func (l *Lab) addNode(i int, ip string) error {
	node := &Node{Name: fmt.Sprintf("front-%s-%d", zone(i), 1+i/len(zones))}
	endpoint := l.Store.Endpoint(node.Name)
	store, err := l.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/objects/servers" {
			if wait := r.URL.Query().Get("wait_ms"); wait != "" && wait != "0" {
				node.watches.Add(1)
			} else {
				node.polls.Add(1)
			}
		}
		endpoint.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	listen := make(map[string]string)
	for name, port := range ports {
		listen[name] = fmt.Sprintf("%s:%d", ip, port)
	}
	node.Entry, node.Readiness, node.Mesh = listen["entry"], listen["readiness"], listen["mesh"]
	node.settings = filepath.Join(l.dir, node.Name+".json")
	text, err := json.Marshal(map[string]any{
		"node": node.Name, "data_centre": zone(i), "region": "steiermark", "listen": listen, "seeds": []string{}, "first_start": true, "store": store,
		"bounds": map[string]any{
			"key_within_millis": 5000, "config_within_millis": 2000, "upstream_within_millis": 2000, "closed_within_millis": 5000, "quarantine_within_millis": 3000, "load_cap": 2,
			"divide_capacity": true, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10, "stop_within_seconds": 8,
		},
		"link_mbps": 1000.0, "memory_mb": 284,
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(node.settings, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	l.Nodes = append(l.Nodes, node)
	return l.start(node)
}

func (l *Lab) start(node *Node) error {
	log, err := os.OpenFile(filepath.Join(l.dir, node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/sagestand", "platform")
	cmd.Env = append(os.Environ(), "SAGESTAND_SETTINGS="+node.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", node.Name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // Close kills it
		close(done)
	}()
	node.cmd, node.exited = cmd, done
	return nil
}

func awaitReady(ctx context.Context, node *Node) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if isReady(ctx, node) {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", node.Name, readyTimeout)
}

func isReady(ctx context.Context, node *Node) bool {
	ctx, cancel := context.WithTimeout(ctx, readyCall)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Readiness+"/api/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Close ends all processes and servers and removes the temporary folder.
func (l *Lab) Close() {
	for _, n := range l.Nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Kill() // fails only if it has exited
		<-n.exited
	}
	for _, s := range l.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(l.dir)
}
