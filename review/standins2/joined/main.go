// The program joined has the runners of a service replaced by those of another software version while one node is frozen and another
// one is killed, and looks for streams that hold events of both versions.
//
// # Usage
//
//	joined FOLDER
//
// FOLDER gets record.txt. The exit code is 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With TROUBLE=0 in
// the environment no node is frozen or killed.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sagestand.example/sagestand/review/standins2/lab"
)

const (
	prefix  = "/lohu930/"
	service = "huvo11a"
	// events is the number of events of a stream, step the time between two.
	events = 20
	step   = 60 * time.Millisecond
	// streams is the number of streams that begin after the release.
	streams = 600
	// deadline is that of a caller, returns the number of times that it takes a stream up.
	deadline = 10 * time.Second
	returns  = 2
	// nodes is the number of nodes, killed that of those that are killed at once.
	nodes, killed = 9, 4
	// runners is the number of runners of each version.
	runners = 10
	// allowed is the number of streams of two versions that the rule allows.
	allowed = 2
)

// Times from the start of the release.
const (
	freezeFor  = 450 * time.Millisecond
	firstBegin = 170 * time.Millisecond
	beginEach  = 300 * time.Microsecond
	killAt     = 370 * time.Millisecond
	warmUp     = 3 * time.Second
)

func main() {
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// play holds what a run of the case needs.
type play struct {
	lab  *lab.Lab
	next int
	mu   sync.Mutex
}

// rounds is the number of deployments that are started, one after the other.
const rounds = 4

// run plays the rounds and reports whether the rule was broken in one of them.
func run(folder string, trouble bool) (int, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return lab.Unable, fmt.Errorf("create record: %w", err)
	}
	defer func() { _ = f.Close() }()
	code := lab.Held
	for range rounds {
		c, err := playRound(f, trouble)
		if err != nil {
			return lab.Unable, err
		}
		code = max(code, c)
	}
	return code, nil
}

func playRound(record io.Writer, trouble bool) (int, error) {
	l, err := lab.New(record)
	if err != nil {
		return lab.Unable, err
	}
	defer l.Close()
	p := &play{lab: l}
	l.Configure(3, prefix, service)
	var old, new []*lab.Runner
	for i := range 2 * runners {
		version := "v1"
		if i >= runners {
			version = "v2"
		}
		id := fmt.Sprintf("i-7f3a91%02d", i)
		r, err := l.StartRunner(service, id, version, p.engine(id, version))
		if err != nil {
			return lab.Unable, err
		}
		if i < runners {
			old = append(old, r)
			r.Register("ready")
		} else {
			new = append(new, r)
		}
	}
	if err := l.StartNodes(context.Background(), nodes); err != nil {
		return lab.Unable, err
	}
	if err := p.warm(); err != nil {
		return lab.Unable, err
	}
	frozen, others, err := choose(l.Nodes)
	if err != nil {
		return lab.Unable, err
	}
	if trouble {
		if err := p.signal(frozen, syscall.SIGSTOP); err != nil {
			return lab.Unable, err
		}
	}
	begin := time.Now()
	for _, r := range new {
		r.Register("ready")
	}
	for _, r := range old {
		r.Register("draining")
	}
	var all sync.WaitGroup
	joined := make(chan bool, streams)
	for i := range streams {
		all.Go(func() {
			time.Sleep(time.Until(begin.Add(firstBegin + time.Duration(i)*beginEach)))
			joined <- p.stream()
		})
	}
	if trouble {
		time.Sleep(time.Until(begin.Add(killAt)))
		for _, n := range others[:killed] {
			if err := p.signal(n, syscall.SIGKILL); err != nil {
				return lab.Unable, err
			}
		}
		time.Sleep(time.Until(begin.Add(freezeFor)))
		if err := p.signal(frozen, syscall.SIGCONT); err != nil {
			return lab.Unable, err
		}
	}
	all.Wait()
	close(joined)
	n := 0
	for j := range joined {
		if j {
			n++
		}
	}
	l.Record("result", "%d of %d streams hold events of two versions; the rule allows %d", n, streams, allowed)
	if n > allowed {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

// signal sends a signal to a node.
func (p *play) signal(n *lab.Node, sig syscall.Signal) error {
	if err := n.Signal(sig); err != nil {
		return fmt.Errorf("signal %s: %w", n.Name, err)
	}
	p.lab.Record("signal", "%s gets %v", n.Name, sig)
	return nil
}

// warm sends some streams to all nodes.
func (p *play) warm() error {
	var all errgroup.Group
	for _, n := range p.lab.Nodes {
		all.Go(func() error {
			for end := time.Now().Add(warmUp); time.Now().Before(end); {
				status, _, err := p.attempt(n.Entry, p.newID(), "", 0, &stream{})
				if status != http.StatusOK {
					return fmt.Errorf("%s answers %d to the warm-up: %v", n.Name, status, err)
				}
			}
			return nil
		})
	}
	return all.Wait()
}

// choose returns a node that neither watches nor polls the store for all, to be frozen, and the others.
func choose(all []*lab.Node) (frozen *lab.Node, others []*lab.Node, err error) {
	for _, n := range all {
		if waiting, polls := n.Watches(); frozen == nil && waiting == 0 && polls <= 3 {
			frozen = n
		} else {
			others = append(others, n)
		}
	}
	if frozen == nil {
		return nil, nil, errors.New("all nodes read the store")
	}
	return frozen, others, nil
}

// engine returns a runner's handler. Its events name the version. It goes on after Last-Event-Id.
func (p *play) engine(id, version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
		p.lab.Record("run", "%s at %s %s after event %d", attempt, id, version, last)
		w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0."+attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := last + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // the next write fails as well
			select {
			case <-r.Context().Done():
				return
			case <-time.After(step):
			}
		}
	}
}

// stream is what a caller has of a stream.
type stream struct {
	first    string // attempt that brought the first event
	events   int
	versions []string
}

// stream has a caller get a stream from nodes that it draws, and reports whether it holds events of several versions.
func (p *play) stream() bool {
	end := time.Now().Add(deadline)
	st := &stream{}
	failed := make(map[string]bool)
	for range returns + 1 {
		var addresses []string
		for _, n := range p.lab.Nodes {
			if !failed[n.Entry] {
				addresses = append(addresses, n.Entry)
			}
		}
		if len(addresses) == 0 {
			break
		}
		address, id := addresses[rand.IntN(len(addresses))], p.newID()
		p.lab.Record("sent", "%s to %s, resumes %q after event %d", id, p.nameOf(address), st.first, st.events)
		status, whole, err := p.attempt(address, id, st.first, time.Until(end), st)
		p.lab.Record("answered", "%s status %d, whole %t, events %d, versions %s, err %v", id, status, whole, st.events, strings.Join(st.versions, "+"), err)
		if whole || time.Now().After(end) {
			break
		}
		if status == 0 || status == http.StatusOK {
			failed[address] = true
		}
	}
	return len(st.versions) > 1
}

func (p *play) nameOf(address string) string {
	for _, n := range p.lab.Nodes {
		if n.Entry == address {
			return n.Name
		}
	}
	return address
}

func (p *play) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return fmt.Sprintf("9c41d07be2a%05d", p.next)
}

// client opens a connection for each request, within a second.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// attempt sends one attempt of a stream and adds the events that it brings. The status is 0 if there was no answer.
func (p *play) attempt(address, id, resumes string, left time.Duration, st *stream) (status int, whole bool, err error) {
	if left <= 0 {
		left = deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+prefix+"2f", strings.NewReader("prompt of the stream"))
	if err != nil {
		return 0, false, fmt.Errorf("make request: %w", err)
	}
	req.Host, req.GetBody = lab.Host, nil
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Authorization": "Bearer " + lab.Key,
		"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	} {
		req.Header.Set(name, value)
	}
	if st.events > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(st.events))
		req.Header.Set("Resumes", resumes)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, false, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, false, nil
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		version, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if st.events++; st.events == 1 {
			st.first = id
		}
		if len(st.versions) == 0 || st.versions[len(st.versions)-1] != version {
			st.versions = append(st.versions, version)
		}
	}
	return res.StatusCode, st.events == events, lines.Err()
}
