// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/callerconn"
)

// Guards against a success response of the server itself: a caller would take it for an endpoint's
// answer.
func TestTheServerSendsNoSuccessOfItsOwn(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = (&fleetProcess{}).httpServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot) // Shows that the handler was called.
	}))
	srv.Start()
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusTeapot))
}

// Guards against callers' connections on which callerconn cannot arm a reset, so that a cut-off
// answer without framing looks complete.
func TestTheCallersServerAllowsArmingAReset(t *testing.T) {
	g := NewWithT(t)
	p, gw := newGatewayProcess(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = caller.Close() }()
	c, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	callerconn.Arm(p.callersServer(gw).ConnContext(context.Background(), c))
	g.Expect(c.Close()).To(Succeed())
	_, err = caller.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// pipeListener is a listener of one in-memory connection, on which a write blocks until it is read.
type pipeListener struct{ conns chan net.Conn }

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against callers that hold their connection open by not reading an error of the server
// itself.
func TestACallerThatDoesNotReadAnErrorOfTheServerIsDisconnected(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, gw := newGatewayProcess(t)
	srv := p.callersServer(gw)
	closed := make(chan struct{})
	srv.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			close(closed)
		}
	}
	serverConn, clientConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	l := pipeListener{make(chan net.Conn, 1)}
	l.conns <- serverConn
	var serving errgroup.Group
	serving.Go(func() error { return srv.Serve(l) })
	_, err := io.WriteString(clientConn, "nonsense\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(closed, 30*time.Second).Should(BeClosed())
	close(l.conns)
	g.Expect(serving.Wait()).To(MatchError(net.ErrClosed))
}

// Guards against losing a signal that arrives before the process handles signals.
func TestSignalsDuringTheStartAreKept(t *testing.T) {
	g := NewWithT(t)
	caught, cleanup := catchSignals()
	t.Cleanup(cleanup)
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGTERM)).To(Succeed())
	p := &fleetProcess{log: zap.NewNop(), signalCh: caught}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(p.handleSignals(ctx, cancel, func() { t.Error("it ended immediately") })).To(Succeed())
}

// Guards against a SIGHUP that ends a process by the signal, although it has finished its planned stop.
func TestASIGHUPAfterTheLastLogLineEndsNoProcess(t *testing.T) {
	const inChild = "CANVASPULLEY_TEST_CHILD"
	g := NewWithT(t)
	if os.Getenv(inChild) != "" {
		Main([]string{"--config", filepath.Join(t.TempDir(), "missing.ini")}, io.Discard)
		g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed()) // Delivered before it returns.
		return
	}
	child := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	child.Env = append(os.Environ(), inChild+"=1")
	out, err := child.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), "%s", out)
}

// Guards against a SIGHUP that ends a process or begins a planned stop.
func TestOnlySignalsToStopBeginAPlannedStop(t *testing.T) {
	for _, tc := range []struct {
		name    string
		signals []os.Signal
		leaves  int
		ends    bool
	}{
		{"SIGHUP", []os.Signal{syscall.SIGHUP, syscall.SIGHUP}, 0, false},
		{"SIGTERM", []os.Signal{syscall.SIGTERM}, 1, false},
		{"SIGTERM between two SIGHUPs", []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, 1, false},
		{"SIGTERM three times", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 1, false},
		{"SIGINT, then SIGTERM", []os.Signal{syscall.SIGINT, syscall.SIGTERM}, 1, false},
		{"SIGINT twice", []os.Signal{syscall.SIGINT, syscall.SIGINT}, 1, true},
		{"SIGTERM, then SIGINT", []os.Signal{syscall.SIGTERM, syscall.SIGINT}, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			caught := make(chan os.Signal)
			leaves := 0
			var group errgroup.Group
			group.Go(func() error { return handleSignals(ctx, caught, zap.NewNop(), func(string) { leaves++ }) })
			for _, s := range tc.signals {
				caught <- s
			}
			if !tc.ends {
				cancel()
			}
			g.Expect(group.Wait() != nil).To(Equal(tc.ends))
			g.Expect(leaves).To(Equal(tc.leaves))
		})
	}
}
