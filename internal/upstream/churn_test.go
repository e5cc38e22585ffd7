// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// fickle is an endpoint that closes connections whenever it likes: with or without a word,
// at once, while they rest, or as a request reaches it.
type fickle struct {
	l      net.Listener
	closed atomic.Int64 // Connections that it closed itself.
	shared atomic.Int64 // Requests that came while another one was served on their connection.

	mu  sync.Mutex
	ran map[string]int // Requests that were run, by id.
}

func newFickle(t *testing.T) *fickle {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	f := &fickle{l: l, ran: map[string]int{}}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test is over.
			}
			group.Go(func() error { f.serve(c); return nil })
		}
	})
	t.Cleanup(func() { _ = l.Close(); g.Expect(group.Wait()).To(Succeed()) })
	return f
}

func (f *fickle) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		rest := time.Minute
		if rand.IntN(3) == 0 {
			rest = time.Duration(rand.IntN(200)) * time.Microsecond
		}
		_ = c.SetReadDeadline(time.Now().Add(rest)) // It is open: only this end closes it.
		_, err := br.Peek(1)
		if err != nil || rand.IntN(20) == 0 {
			if !errors.Is(err, io.EOF) {
				f.closed.Add(1)
			}
			return // As idle, or with a request unread, which resets it.
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if br.Buffered() > 0 {
			f.shared.Add(1)
		}
		id := r.Header.Get(idName)
		f.mu.Lock()
		f.ran[id]++
		f.mu.Unlock()
		end := ""
		if rand.IntN(10) == 0 {
			end = "Connection: close\r\n"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", idName, id, end, len(id), id); err != nil {
			return
		}
		if end != "" || rand.IntN(10) == 0 {
			f.closed.Add(1)
			return // With or without a word.
		}
	}
}

// tally is what became of requests, by how far they got.
type tally struct {
	mu      sync.Mutex
	results map[Progress][]string
}

func (n *tally) add(p Progress, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[p] = append(n.results[p], id)
}

// send sends a request once, on a connection that rested or on a new one.
func (n *tally) send(p *Pool, f *fickle, id string, maxIdle time.Duration) error {
	c, err := p.Get(context.Background(), "e", f.l.Addr().String(), maxIdle)
	if err != nil {
		return err
	}
	r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{idName: {id}}}
	x, err := c.Send(r, time.Now().Add(time.Minute))
	if err == nil {
		_, err = x.Head(r, func(_ int, h http.Header) bool { return h.Get(idName) == id })
	}
	if err == nil {
		var body []byte
		if body, err = x.ReadWhole(1 << 10); err == nil && string(body) != id {
			return errors.Newf("%s got the body of %s", id, body)
		}
	}
	if errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "%s was sent on a connection that was closed here", id)
	}
	if err != nil {
		x.Abort()
		if x.Progress() != Unsent && !errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE) {
			return err
		}
		n.add(x.Progress(), id)
		return nil
	}
	x.Done(p)
	n.add(Answered, id)
	return nil
}

// Guards against connections that two requests share, that are closed under one, and
// against requests that are said not to have been sent and ran.
func TestConnectionsThatEndAsRequestsComeLoseAndMixNothing(t *testing.T) {
	const callers, each = 300, 40
	g := NewWithT(t)
	f := newFickle(t)
	var opened atomic.Int64
	p, cleanup := NewPool("", func() { opened.Add(1) })
	p.dialer.Timeout = time.Minute // However busy the machine is.
	n := &tally{results: map[Progress][]string{}}
	over := make(chan struct{})
	var keeping, sending errgroup.Group
	keeping.Go(func() error {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-over:
				return nil
			case <-ticker.C:
				p.CloseIdle(func(string) bool { return i%2 == 0 })
			}
		}
	})
	for i := range callers {
		sending.Go(func() error {
			for j := range each {
				maxIdle := time.Minute
				if (i+j)%10 == 0 {
					maxIdle = 0
				}
				if err := n.send(p, f, fmt.Sprint(i, "-", j), maxIdle); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := sending.Wait()
	close(over)
	g.Expect(keeping.Wait()).To(Succeed())
	cleanup()
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d connections, %d closed by the endpoint; requests: %d answered, %d sent, %d unsent", opened.Load(), f.closed.Load(),
		len(n.results[Answered]), len(n.results[Sent]), len(n.results[Unsent]))
	g.Expect(len(n.results[Answered]) + len(n.results[Sent]) + len(n.results[Unsent])).To(Equal(callers * each))
	g.Expect(len(n.results[Answered])).To(BeNumerically(">", callers*each/2))
	g.Expect(f.shared.Load()).To(BeZero(), "requests on a connection that was in use")
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, times := range f.ran {
		if times != 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	for _, id := range n.results[Unsent] {
		if f.ran[id] > 0 {
			t.Errorf("%s ran and was said not to have been sent", id)
		}
	}
	for _, id := range n.results[Answered] {
		if f.ran[id] == 0 {
			t.Errorf("%s was answered and did not run", id)
		}
	}
}
