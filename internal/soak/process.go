// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/duty"
)

// process is a daemon that the soak runs; it may be restarted many times.
type process struct {
	s       *site
	name    string
	file    string
	gateway int // -1 for a sidecar.

	mu            sync.Mutex // Guards the fields below.
	cmd           *exec.Cmd
	current       *incarnation
	stopRequested bool // A signal to end was sent to the current incarnation.
	pauses        int  // Number of overlapping pauses.
	done          chan struct{}
	waiters       errgroup.Group
	closed        bool // The run is over: the process is not started again.
}

// startProcess starts a daemon. Its log is written to a file in the run's directory.
func (s *site) startProcess(name, file string, gateway int) (p *process, err error) {
	p = &process{s: s, name: name, file: file, gateway: gateway}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.launch()
}

// launch starts an incarnation of the daemon. The caller holds mu.
func (p *process) launch() error {
	out, err := os.OpenFile(filepath.Join(p.s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	begin, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		_ = out.Close()
		return err
	}
	p.cmd = exec.Command(p.s.cfg.Daemon, "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	began := time.Now()
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	started := &incarnation{name: p.name, pid: p.cmd.Process.Pid, startAt: began}
	p.current = started
	p.s.ledger.do(func(l *ledger) { l.processes[p.gateway] = append(l.processes[p.gateway], started) })
	p.stopRequested, p.pauses, p.done = false, 0, make(chan struct{})
	cmd, done := p.cmd, p.done
	p.waiters.Go(func() error {
		err := cmd.Wait()
		_ = out.Close()
		explained := true
		p.s.ledger.do(func(l *ledger) {
			started.endAt, started.err, started.signal = time.Now(), err, signalOf(err)
			if explained = started.explained(); !explained {
				l.ends = append(l.ends, fmt.Sprintf("an end that no signal explains: %v", started))
			}
		})
		p.mu.Lock()
		stopRequested := p.stopRequested
		p.mu.Unlock()
		if !stopRequested {
			last := lastLine(out.Name(), begin)
			p.s.ledger.do(func(l *ledger) { l.ends = append(l.ends, fmt.Sprintf("%s ended by itself: %v: %s", p.name, err, last)) })
			p.s.logf("%s ended by itself: %v: %s", p.name, err, last)
		}
		close(done)
		return nil
	})
	return nil
}

// lastLine returns the last line of a log, which shows why a process ended by itself. The process
// began to write at the offset begin; what stands before is of an earlier process.
func lastLine(file string, begin int64) string {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	text := strings.TrimSpace(string(raw[min(begin, int64(len(raw))):]))
	if text == "" {
		return "no line in its log"
	}
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// signal sends a signal to the process, which may have ended, and returns the signalled incarnation. The
// channel is closed when that has ended.
func (p *process) signal(sig syscall.Signal) (signalled *incarnation, done <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.stopRequested = true
		p.s.ledger.recordSignal(p.current, sig)
	}
	_ = p.cmd.Process.Signal(sig) // The process may have ended.
	return p.current, p.done
}

// reload sends SIGHUP if a caller has connected to the process: one that is still starting does not
// catch signals yet and would end.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reachable bool
	p.s.ledger.do(func(*ledger) { reachable = !p.current.connectedAt.IsZero() })
	if reachable {
		_ = p.cmd.Process.Signal(syscall.SIGHUP) // The process may have ended.
	}
}

// pause suspends the process for a duration. Pauses may overlap.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	p.pauses++
	incarnation := p.done
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // The process may have ended.
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation != p.done {
		return // A later incarnation is not suspended.
	}
	if p.pauses--; p.pauses == 0 {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // The process may have ended.
	}
}

// endsWithin waits for the end of an incarnation, and reports whether it came within d.
func endsWithin(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// relaunch starts a new incarnation after the last one has ended.
func (p *process) relaunch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		return nil // It runs: another fault has started it.
	}
	if p.closed {
		return nil
	}
	return p.launch()
}

// shutDown kills the process and prevents that it is started again.
func (p *process) shutDown() {
	if p == nil || p.cmd == nil {
		return
	}
	duty.Locked(&p.mu, func() {
		p.closed = true
		p.stopRequested = true
		if p.current == nil {
			return // It has never started.
		}
		p.s.ledger.recordSignal(p.current, syscall.SIGKILL)
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // The process may have ended.
	})
	_ = p.waiters.Wait() // Functions of the group return no error.
}
