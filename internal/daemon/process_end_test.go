// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// dialMany opens connections with a deadline that are closed at the end of the test.
func dialMany(t *testing.T, l net.Listener, n int) (conns []net.Conn) {
	g := NewWithT(t)
	for range n {
		c, err := net.Dial("tcp4", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		g.Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		conns = append(conns, c)
	}
	return conns
}

// Guards against connections that the end of the process closes as idle during a request.
func TestRequestsThatArriveAsTheProcessEndsAreRefused(t *testing.T) {
	const callers = 400
	g := NewWithT(t)
	var ran sync.Map
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
	}))
	t.Cleanup(endpoint.Close)
	p, gw, l := newGatewayWithEndpoint(t, endpoint.Listener.Addr().String(), callers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var serving, calling errgroup.Group
	serving.Go(func() error { return p.serveCallersWithGrace(ctx, gw, l, testTimeout) })
	conns := dialMany(t, l, callers)
	var served, lost, cut atomic.Int64
	for i, c := range conns {
		calling.Go(func() error {
			br := bufio.NewReader(c)
			for n := 0; ; n++ {
				path := fmt.Sprintf("/%d-%d", i, n)
				_, closes, err := postEmpty(c, br, path)
				if _, passed := ran.Load(path); err != nil && passed {
					cut.Add(1)
				}
				if err != nil {
					lost.Add(1)
				}
				if err != nil || closes {
					return nil
				}
				if served.Add(1) == 2*callers {
					cancel()
				}
			}
		})
	}
	g.Expect(calling.Wait()).To(Succeed())
	g.Expect(serving.Wait()).To(Succeed())
	g.Expect(cut.Load()).To(BeZero(), "forwarded to the endpoint")
	g.Expect(lost.Load()).To(BeZero())
}

// postEmpty sends a request without a body and reads its answer; closes is whether the answer asks
// to close the connection.
func postEmpty(c net.Conn, br *bufio.Reader, path string) (status int, closes bool, err error) {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", path); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Close, resp.Body.Close()
}

// failingOnce is a listener whose first Accept fails with an error.
type failingOnce struct {
	net.Listener
	err  error
	once sync.Once
}

func (l *failingOnce) Accept() (c net.Conn, err error) {
	l.once.Do(func() { err = &net.OpError{Op: "accept", Err: l.err} })
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// panickingListener is a listener that panics after the given number of connections.
type panickingListener struct {
	net.Listener
	after int
}

func (l *panickingListener) Accept() (net.Conn, error) {
	if l.after--; l.after < 0 {
		panic("a fault")
	}
	return l.Listener.Accept()
}

// Guards against a failure of the callers' listener that ends the process during their requests.
func TestAFaultOfTheCallersListenerKeepsConnectionsServed(t *testing.T) {
	g := NewWithT(t)
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(endpoint.Close)
	p, gw, l := newGatewayWithEndpoint(t, endpoint.Listener.Addr().String(), 1)
	failed := make(chan string, 3)
	p.onFailure = func(name string) { failed <- name }
	ctx, cancel := context.WithCancel(context.Background())
	duties := duty.New(ctx, p.log, p.reg, p.onFailure)
	duties.GoOnce("callers", func(ctx context.Context) error { return p.serveCallers(ctx, gw, &panickingListener{l, 1}) })
	c, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(<-failed).To(HavePrefix("callers"))
	status, _, err := postEmpty(c, bufio.NewReader(c), "/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	cancel()
	g.Expect(duties.Wait()).To(MatchError(ContainSubstring("1 panics")))
	g.Expect(gw.CallerConns().OpenConns()).To(BeZero(), "the process waits for its connections to close")
}

// Guards against a failure of one listener that ends the process during requests of the others.
func TestAProcessWithAFaultStopsAsPlanned(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d, _, err := New(newTestProcess(t, adapter.RoleEntry, false).set, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	d.listeners[0].netListener = &panickingListener{Listener: d.listeners[0].netListener}
	g.Expect(d.Run(context.Background())).To(MatchError(ContainSubstring("duty listener")))
	g.Expect(d.Node().Leaving()).To(BeClosed())
}

// Guards against a process that ends with all its requests because one connection cannot be
// accepted.
func TestAServerContinuesAfterAnAcceptError(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EPERM} {
		t.Run(fault.Error(), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			var serving errgroup.Group
			srv := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: log.New(io.Discard, "", 0)}
			serving.Go(func() error { return serveUntilDone(ctx, srv, &failingOnce{Listener: l, err: fault}) })
			resp, err := http.Get("http://" + l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			cancel()
			g.Expect(serving.Wait()).To(Succeed())
		})
	}
}

// Guards against a process that is killed during its requests because the reader of its log has
// gone.
func TestAProcessSurvivesTheReaderOfItsLog(t *testing.T) {
	g := NewWithT(t)
	_, cleanup := catchSignals()
	t.Cleanup(cleanup)
	kept, err := syscall.Dup(syscall.Stdout)
	g.Expect(err).NotTo(HaveOccurred())
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Close()).To(Succeed())
	g.Expect(unix.Dup2(int(w.Fd()), syscall.Stdout)).To(Succeed()) // A Go process dies of SIGPIPE only for descriptors 1 and 2.
	_, err = os.Stdout.WriteString("a line")
	g.Expect(unix.Dup2(kept, syscall.Stdout)).To(Succeed())
	g.Expect(err).To(MatchError(syscall.EPIPE))
	g.Expect(w.Close()).To(Succeed())
	g.Expect(syscall.Close(kept)).To(Succeed())
}

// Guards against callers' connections that leave no file descriptors for those to endpoints.
func TestCallersLeaveFileDescriptorsForEndpoints(t *testing.T) {
	const (
		maxConns = 50 // Limit on open connections of callers.
		otherFDs = 40 // File descriptors for other uses.
	)
	g := NewWithT(t)
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(endpoint.Close)
	p, gw, l := newGatewayWithEndpoint(t, endpoint.Listener.Addr().String(), maxConns)
	p.maxCallers, p.limitGrace = maxConns, testTimeout // All others wait until the first ones are closed.
	conns := dialMany(t, l, 2*maxConns)
	used, err := os.ReadDir("/proc/self/fd")
	g.Expect(err).NotTo(HaveOccurred())
	var limit syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)).To(Succeed())
	low := syscall.Rlimit{Cur: uint64(len(used) + maxConns + otherFDs), Max: limit.Max}
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low)).To(Succeed())
	defer func() { g.Expect(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)).To(Succeed()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var serving errgroup.Group
	serving.Go(func() error { return p.serveCallers(ctx, gw, l) })
	g.Eventually(gw.CallerConns().OpenConns, testTimeout).Should(BeNumerically(">=", maxConns))
	for _, c := range conns[:maxConns] {
		status, _, err := postEmpty(c, bufio.NewReader(c), "/")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(c.Close()).To(Succeed())
	}
	for _, c := range conns[maxConns:] { // These had to wait.
		_, _, err := postEmpty(c, bufio.NewReader(c), "/")
		g.Expect(err).NotTo(HaveOccurred())
	}
	cancel()
	g.Expect(serving.Wait()).To(Succeed())
}

// blockedWriter is a writer whose writes block until it is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write([]byte) (int, error) { <-s; return 0, io.ErrClosedPipe }

// Guards against a process that does not end because its log cannot be written.
func TestAProcessEndsAlthoughItsLogIsNotRead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	set := &settings.Fleet{
		Role: settings.Gateway, Name: "g", Domain: "a", LogLevel: "info", ServedLinesPerSecond: 100, StoreAddress: "http://127.0.0.1:1", GracePeriod: time.Minute,
		CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
	}
	caught := make(chan os.Signal, 2)
	caught <- syscall.SIGINT
	caught <- syscall.SIGINT
	log := make(blockedWriter)
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(ended)
		return runFleet("", set, caught, log)
	})
	g.Eventually(ended, testTimeout).Should(BeClosed())
	close(log)
	g.Expect(group.Wait()).To(Succeed())
}
