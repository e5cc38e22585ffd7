// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseRun holds what every case needs: the folder of the run, its record and its processes.
type caseRun struct {
	root    string // Checkout whose target/canvaspulleyd is started.
	dir     string // Folder for settings and logs of processes.
	trouble bool   // Whether the disruption takes place.
	prefix  string // First three octets of the loopback addresses of this run.
	began   time.Time

	mu        sync.Mutex // Guards the fields below.
	out       *os.File
	processes []*exec.Cmd
}

func newCaseRun(root, recordFile string, trouble bool) (c *caseRun, cleanup func(), err error) {
	c = &caseRun{root: root, trouble: trouble, began: time.Now()}
	if c.dir, err = os.MkdirTemp("", "canvaspulley-review-"); err != nil {
		return nil, nil, err
	}
	if c.out, err = os.Create(recordFile); err != nil {
		return nil, nil, err
	}
	pid := os.Getpid()
	c.prefix = fmt.Sprintf("127.%d.%d", 64+pid%128, pid/128%250)
	c.record("trouble: %t", trouble)
	return c, c.close, nil
}

// close ends all processes of the run.
func (c *caseRun) close() {
	c.mu.Lock()
	list := c.processes
	c.mu.Unlock()
	for _, p := range list {
		_ = p.Process.Kill() // Also ends a stopped process.
		_ = p.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
	_ = c.out.Close()
}

// record writes one line to the record, with the time since the start of the run in seconds.
func (c *caseRun) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%9.4f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns the loopback address of machine n.
func (c *caseRun) ip(n int) string { return fmt.Sprintf("%s.%d", c.prefix, n) }

// freePort returns a port that is free at the address of machine n, below the range from which outgoing
// connections take theirs.
func (c *caseRun) freePort(machines ...int) (port int, err error) {
next:
	for port = 20000 + os.Getpid()%5000; port < 32000; port++ {
		for _, n := range machines {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", c.ip(n), port))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free port")
}

var gap = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// start fills a template of the deploy file and starts the daemon with it.
func (c *caseRun) start(name, template string, fields map[string]string) (*exec.Cmd, error) {
	raw, err := os.ReadFile(filepath.Join(c.root, template))
	if err != nil {
		return nil, err
	}
	var missing []string
	text := gap.ReplaceAllStringFunc(string(raw), func(g string) string {
		key := strings.Trim(g, "{}")
		v, ok := fields[key]
		if !ok {
			missing = append(missing, key)
		}
		return v
	})
	if len(missing) > 0 {
		return nil, fmt.Errorf("%s: no value for %s", template, strings.Join(missing, ", "))
	}
	file := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command("target/canvaspulleyd", "--config", file)
	p.Dir, p.Stdout, p.Stderr = c.root, log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}
