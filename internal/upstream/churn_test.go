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

	"github.com/canvaspulley/canvaspulley/internal/dialer"
)

// flakyEndpoint is an endpoint that closes connections at random: with or without announcing it,
// immediately, while they are idle, or when a request arrives.
type flakyEndpoint struct {
	l           net.Listener
	closed      atomic.Int64 // Connections that it closed itself.
	overlapping atomic.Int64 // Requests that arrived while another one was in progress on their connection.

	mu       sync.Mutex
	runsByID map[string]int // Requests that were run, by id.
}

func newFlakyEndpoint(t *testing.T) *flakyEndpoint {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	f := &flakyEndpoint{l: l, runsByID: map[string]int{}}
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

func (f *flakyEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		idle := time.Minute
		if rand.IntN(3) == 0 {
			idle = time.Duration(rand.IntN(200)) * time.Microsecond
		}
		_ = c.SetReadDeadline(time.Now().Add(idle)) // Cannot fail: the connection is open, as only this side closes it.
		_, err := br.Peek(1)
		if err != nil || rand.IntN(20) == 0 {
			if !errors.Is(err, io.EOF) {
				f.closed.Add(1)
			}
			return // Either idle, or with an unread request, which resets the connection.
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if br.Buffered() > 0 {
			f.overlapping.Add(1)
		}
		id := r.Header.Get(idHeader)
		f.mu.Lock()
		f.runsByID[id]++
		f.mu.Unlock()
		closeHeader := ""
		if rand.IntN(10) == 0 {
			closeHeader = "Connection: close\r\n"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", idHeader, id, closeHeader, len(id), id); err != nil {
			return
		}
		if closeHeader != "" || rand.IntN(10) == 0 {
			f.closed.Add(1)
			return // With or without "Connection: close".
		}
	}
}

// outcomes collects the ids of requests by how far they got.
type outcomes struct {
	mu      sync.Mutex
	results map[Progress][]string
}

func (n *outcomes) add(p Progress, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[p] = append(n.results[p], id)
}

// send sends a request once, on an idle or a new connection.
func (n *outcomes) send(p *Pool, f *flakyEndpoint, id string, maxIdle time.Duration) error {
	c, err := p.Get(context.Background(), "e", f.l.Addr().String(), maxIdle)
	if err != nil {
		return err
	}
	r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{idHeader: {id}}}
	x, err := c.Send(r, time.Now().Add(time.Minute))
	if err == nil {
		_, err = x.Head(r, func(_ int, h http.Header) bool { return h.Get(idHeader) == id })
	}
	if err == nil {
		var body []byte
		if body, err = readBody(x); err == nil && string(body) != id {
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

// Guards against connections that two requests share or that are closed during a request, and
// against requests that ran although they were reported as unsent.
func TestRequestsOnClosingConnectionsAreNeitherLostNorMixed(t *testing.T) {
	const callers, each = 300, 40
	g := NewWithT(t)
	f := newFlakyEndpoint(t)
	var opened atomic.Int64
	p, cleanup := NewPool("", func() { opened.Add(1) })
	p.dialer = dialer.New("", time.Minute, noKeepAlive) // So that dialing succeeds on a busy machine.
	n := &outcomes{results: map[Progress][]string{}}
	done := make(chan struct{})
	var closing, sending errgroup.Group
	closing.Go(func() error {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
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
	close(done)
	g.Expect(closing.Wait()).To(Succeed())
	cleanup()
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d connections, %d closed by the endpoint; requests: %d answered, %d sent, %d unsent", opened.Load(), f.closed.Load(),
		len(n.results[Answered]), len(n.results[Sent]), len(n.results[Unsent]))
	g.Expect(len(n.results[Answered]) + len(n.results[Sent]) + len(n.results[Unsent])).To(Equal(callers * each))
	g.Expect(len(n.results[Answered])).To(BeNumerically(">", callers*each/2))
	g.Expect(f.overlapping.Load()).To(BeZero(), "requests on a connection that was in use")
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, times := range f.runsByID {
		if times != 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	for _, id := range n.results[Unsent] {
		if f.runsByID[id] > 0 {
			t.Errorf("%s ran although it was reported as unsent", id)
		}
	}
	for _, id := range n.results[Answered] {
		if f.runsByID[id] == 0 {
			t.Errorf("%s was answered and did not run", id)
		}
	}
}
