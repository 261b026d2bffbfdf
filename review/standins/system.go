package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"sagestand.example/sagestand/platform/standin"
)

// program is the path of the nodes' program as the deploy file builds it, from the root of the repository.
const program = "target/sagestand"

// Ports of the nodes, the same on all; each node has its own address.
const (
	portEntry     = 8001
	portReady     = 8002
	portDirectory = 8003
	portOperator  = 8004
	portMesh      = 8005
)

const (
	host         = "wuny96.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	readyTimeout = 20 * time.Second
)

var (
	errNotReady = errors.New("not ready")
	errNoSubnet = errors.New("no free addresses on loopback")
)

// system is a small deployment: the platform's store and nodes on loopback addresses.
type system struct {
	ledger *ledger
	store  standin.Store
	dir    string
	subnet string // the first three octets of the nodes' addresses
	nodes  []*node
	server *http.Server
	lock   net.Listener
}

// node is a process of the project.
type node struct {
	name, ip, settings string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// newSystem reserves addresses and serves the store.
func newSystem(l *ledger) (*system, error) {
	s := &system{ledger: l}
	var err error
	for range 100 {
		s.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if s.lock, err = net.Listen("tcp4", s.subnet+".254:8000"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%v: %w", err, errNoSubnet)
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, fmt.Errorf("make a folder for settings: %w", err)
	}
	return s, nil
}

// startNodes starts n nodes and waits until all are ready.
func (s *system) startNodes(ctx context.Context, n int) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	s.server = &http.Server{Handler: s.store.Endpoint("all")}
	go func() { _ = s.server.Serve(ln) }() // ends with stop
	for i := range n {
		if err := s.startNode(i, ln.Addr().String()); err != nil {
			return err
		}
	}
	for _, p := range s.nodes {
		if err := s.awaitReady(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// startNode writes the settings that deploy/settings.json.tmpl gives, with the bounds of a small deployment, and starts the
// node with the command of the deploy file.
func (s *system) startNode(i int, store string) error {
	p := &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", s.subnet, i+1), exited: make(chan struct{})}
	p.settings = filepath.Join(s.dir, p.name+".json")
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	b, err := json.Marshal(map[string]any{
		"node": p.name, "data_centre": "graz-nord", "region": "steiermark",
		"listen": map[string]any{"entry": at(portEntry), "readiness": at(portReady), "directory": at(portDirectory), "operator": at(portOperator), "mesh": at(portMesh)},
		"seeds":  []string{s.subnet + ".1:8004"}, "first_start": true, "store": store,
		"bounds": map[string]any{
			"key_within_millis": 5000, "config_within_millis": 2000, "upstream_within_millis": 2000, "closed_within_millis": 5000,
			"quarantine_within_millis": 3000, "load_cap": 2, "divide_capacity": true, "retry_ratio": 0.2, "retry_slack": 58,
			"retry_window_seconds": 10, "stop_within_seconds": 8,
		},
		"link_mbps": 1000, "memory_mb": 284,
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(program, "platform")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAGESTAND_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	go func() {
		_ = p.cmd.Wait() // the log shows why it exited
		close(p.exited)
	}()
	s.nodes = append(s.nodes, p)
	return nil
}

// awaitReady waits until a node says that it is ready.
func (s *system) awaitReady(ctx context.Context, p *node) error {
	c := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		res, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", p.ip, portReady))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", p.name, errNotReady)
}

// entry returns the address of a node for clients.
func (s *system) entry(i int) string { return fmt.Sprintf("%s:%d", s.nodes[i].ip, portEntry) }

// stop ends all processes that were started, and removes their files.
func (s *system) stop() {
	for _, p := range s.nodes {
		_ = p.cmd.Process.Kill() // fails only if it has exited
		<-p.exited
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	_ = s.lock.Close()
	_ = os.RemoveAll(s.dir)
}

// Services of the site haller-diwali.
const (
	appService    = "bestell-app"
	engineService = "mithai-llm"
)

// configure writes the operator's first configuration, with routes of the site haller-diwali.
func (s *system) configure() {
	route := func(name, kind, service string, attempts, timeout, objective, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": objective,
			"gap_aim_ms": 600, "priority": priority, "service": service, "max_attempts": attempts, "public": false,
			"sticky": service == engineService, "resumable": false,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{
			route("vorbestellung", "unsafe", appService, 1, 1200, 150, 2), route("status-abfrage", "safe", appService, 2, 1200, 150, 2),
			route("kunden-antwort", "stream", engineService, 1, 10000, 500, 0),
		},
		"services": []any{
			map[string]any{"name": appService, "health_path": "/healthz", "max_conns": 110},
			map[string]any{"name": engineService, "health_path": "/healthz", "max_conns": 370, "cold_per_s": 10, "engine": map[string]any{"slots": 64}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}
