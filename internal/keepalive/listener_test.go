// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
)

// Guards against requests that are reset because a busy process accepts them too late.
func TestPendingConnectionsAreAcceptedAfterTheCloseDeadline(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		callers int
		level   zapcore.Level // Of the log line "listener closed".
	}{
		"callers connect": {connCount / 4, zapcore.WarnLevel},
		"nobody connects": {0, zapcore.InfoLevel},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			core, logs := observer.New(zap.InfoLevel)
			tr := New(longIdleConfig(), zap.New(core), metrics.NewRegistry())
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, r.Header.Get(headerID)) // A caller that disconnects gets no answer.
			})}
			tr.Attach(srv)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			last := tr.Listener(l)
			s := &host{Tracker: tr, addr: l.Addr().String()}
			var list []*caller
			for range tc.callers {
				c := s.dial(t, "late")
				g.Expect(c.send(requestText(c.nextID()))).To(Succeed())
				list = append(list, c)
			}
			g.Expect(tr.CloseListeners(time.Now().Add(-testTimeout))).To(Succeed())
			var serving errgroup.Group
			serving.Go(func() error { return srv.Serve(last) })
			forEachCaller(t, list, func(_ int, c *caller) error {
				_, err := c.read(c.lastID())
				return err
			})
			g.Expect(serving.Wait()).To(MatchError(net.ErrClosed))
			g.Expect(srv.Close()).To(Succeed())
			g.Eventually(tr.Drained, testTimeout).Should(BeTrue(), "no listener is left either")
			expectListenerClosed(t, tr, logs, tc.level, tc.callers)
		})
	}
}

// expectListenerClosed checks the log line of a listener that closed, and that it counts as in use
// where the line is a warning.
func expectListenerClosed(t *testing.T, tr *Tracker, logs *observer.ObservedLogs, level zapcore.Level, accepted int) {
	t.Helper()
	g := NewWithT(t)
	lines := logs.FilterMessage("listener closed").All()
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0].Level).To(Equal(level))
	g.Expect(lines[0].ContextMap()).To(HaveKeyWithValue("accepted", int64(accepted)))
	g.Expect(tr.closedInUse.Count() == 1).To(Equal(level == zapcore.WarnLevel))
}

// Guards against a stop that never ends because callers connect without a pause.
func TestAListenerClosesAlthoughCallersConnectWithoutAPause(t *testing.T) {
	t.Parallel()
	const most = 3000 // Connections that callers make, unless the listener closes first.
	g := NewWithT(t)
	tr := New(longIdleConfig(), zap.NewNop(), metrics.NewRegistry())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	last := tr.Listener(l)
	var made, accepted atomic.Int32
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			for made.Add(1) <= most {
				c, err := net.Dial("tcp4", l.Addr().String())
				if err != nil {
					return nil // The listener has closed.
				}
				_ = c.Close()
			}
			return nil
		})
	}
	group.Go(func() error {
		for {
			c, err := last.Accept()
			if err != nil {
				return nil
			}
			accepted.Add(1)
			_ = c.Close()
			time.Sleep(time.Millisecond) // Simulates a busy process: some callers always wait.
		}
	})
	g.Expect(tr.CloseListeners(time.Now())).To(Succeed())
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(tr.Drained()).To(BeTrue())
	g.Expect(accepted.Load()).To(BeNumerically("<", most))
}
