package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	return &record{f: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends a case that could not run.
func fatal(v any) {
	fmt.Fprintln(os.Stderr, "cannot run:", v)
	endAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// endAll kills every process that the case started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, c := range started {
		_ = c.Wait()
	}
	started = nil
}

// fill fills the gaps of a template of settings, as DEPLOY.md tells.
func fill(template string, fields map[string]string) string {
	gap := regexp.MustCompile(`\{\{([^}]*)\}\}`)
	return gap.ReplaceAllStringFunc(template, func(g string) string { return fields[gap.FindStringSubmatch(g)[1]] })
}

// start runs the daemon by the command of the deploy file, with settings filled from its template.
func start(root, dir, name, template string, fields map[string]string) *exec.Cmd {
	raw, err := os.ReadFile(filepath.Join(root, template))
	if err != nil {
		fatal(err)
	}
	settings := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(settings, []byte(fill(string(raw), fields)), 0o644); err != nil {
		fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal(err)
	}
	c := exec.Command(filepath.Join(root, "target", "canvaspulleyd"), "--config", settings)
	c.Dir, c.Stdout, c.Stderr = root, out, out
	c.Env = append(os.Environ(), "CANVASPULLEY_CONFIG="+settings)
	if err := c.Start(); err != nil {
		fatal(err)
	}
	startedMu.Lock()
	started = append(started, c)
	startedMu.Unlock()
	return c
}

// serve serves a handler on an address.
func serve(address string, h http.Handler) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fatal(err)
	}
	go func() { _ = http.Serve(l, h) }()
}

// freePort returns a port that is free on all given addresses, for TCP and UDP.
func freePort(addresses []string) int {
	for range 50 {
		l, err := net.Listen("tcp4", addresses[0]+":0")
		if err != nil {
			fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, a := range addresses {
			at := fmt.Sprintf("%s:%d", a, port)
			t, err := net.Listen("tcp4", at)
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp4", at)
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return port
		}
	}
	fatal("no free port")
	return 0
}
