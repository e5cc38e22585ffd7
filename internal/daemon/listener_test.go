// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/keepalive"
)

// closed returns how many connections of peers ended by a cause.
func closed(d *Daemon, cause keepalive.Cause) int64 {
	return metrics.GetOrRegisterCounter(peersName+".connections-closed."+string(cause), d.Node().Metrics()).Count()
}

// Guards against requests that are read and passed on while their connection is closed as idle.
func TestARequestThatCrossesTheEndOfAnIdleConnectionIsNotPassedOn(t *testing.T) {
	t.Parallel()
	const (
		idle   = 200 * time.Millisecond
		kept   = idle + time.Second
		around = 40 * time.Millisecond
	)
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newOwnSite(t, adapter.RoleEndpoint, secure)
			d, _ := s.run(t, func(d *Daemon) {
				d.listeners[0].conns = keepalive.New(keepalive.Config{Name: peersName, IdleTimeout: idle, ReadHeaderTimeout: headerTimeout}, zap.NewNop(), d.Node().Metrics())
			})
			callers := s.peers(t, d).rest(t)
			ran := map[string]error{}
			for _, k := range callers {
				ran["first-"+k.id] = nil
			}
			g.Expect(s.passedOn(ran)).To(Equal(restingCallers))
			lost := map[string]error{}
			var mu sync.Mutex
			var group errgroup.Group
			for i, k := range callers {
				group.Go(func() error {
					time.Sleep(time.Until(k.since.Add(kept - around/2 + around*time.Duration(i*7919%restingCallers)/restingCallers)))
					if _, err := k.ask(k.id); err != nil {
						mu.Lock()
						defer mu.Unlock()
						lost[k.id] = err
					}
					return nil
				})
			}
			g.Expect(group.Wait()).To(Succeed())
			t.Logf("%d of %d callers got no answer", len(lost), len(callers))
			g.Expect(s.passedOn(lost)).To(BeZero())
		})
	}
}

// Guards against a planned stop that callers can hold up.
func TestAPlannedStopEndsThoughCallersStayAndCome(t *testing.T) {
	t.Parallel()
	const (
		some  = 20
		pause = 20 * time.Millisecond
	)
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newOwnSite(t, adapter.RoleEndpoint, secure)
			d, ended := s.run(t, nil)
			f := s.operators(t, d)
			for i := range some {
				g.Expect(f.dial(t, fmt.Sprint("rests", i)).ask("first")).To(Equal(http.StatusOK))
				f.dial(t, fmt.Sprint("silent", i))
				_, err := io.WriteString(f.dial(t, fmt.Sprint("slow", i)).c, "GET / HT")
				g.Expect(err).NotTo(HaveOccurred())
			}
			stop := time.Now()
			d.Node().Leave("test")
			var group errgroup.Group
			for range some {
				group.Go(func() error {
					for {
						c, err := net.Dial("tcp4", f.address)
						if err != nil {
							return nil // None is accepted any more.
						}
						if f.tls != nil {
							c = tls.Client(c, f.tls)
						}
						_, _ = io.WriteString(c, f.request(""))
						_, _ = io.ReadAll(c)
						_ = c.Close()
						time.Sleep(pause)
					}
				})
			}
			g.Expect(ended()).To(Succeed())
			t.Logf("the planned stop took %v", time.Since(stop))
			g.Expect(group.Wait()).To(Succeed())
		})
	}
}

// Guards against peers that use a connection for longer than its server keeps it.
func TestPeersLeaveConnectionsBeforeTheirServersDo(t *testing.T) {
	g := NewWithT(t)
	idle := adapter.NewTransport("").IdleConnTimeout
	g.Expect(idle).To(BeNumerically(">", 0))
	for _, kept := range []time.Duration{peersIdle, peersNewConn, headerTimeout} {
		g.Expect(idle).To(BeNumerically("<", kept))
	}
}

// Guards against HTTP/2, in which connections are not known to rest.
func TestListenersWithTLSSpeakHTTP1Only(t *testing.T) {
	g := NewWithT(t)
	s := newOwnSite(t, adapter.RoleEndpoint, true)
	d, _ := s.run(t, nil)
	cfg := s.peers(t, d).tls
	cfg.NextProtos = []string{"h2", "http/1.1"}
	c, err := tls.Dial("tcp4", d.Addresses()[0], cfg)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(c.ConnectionState().NegotiatedProtocol).To(Equal("http/1.1"))
}

// Guards against connections that peers leave and that count as cut by the process.
func TestConnectionsThatPeersLeaveCountAsTheirs(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			g := NewWithT(t)
			s := newOwnSite(t, adapter.RoleEndpoint, secure)
			d, _ := s.run(t, nil)
			f := s.peers(t, d)
			for range 10 {
				k := f.dial(t, "k")
				g.Expect(k.ask("a")).To(Equal(http.StatusOK))
				g.Expect(k.c.Close()).To(Succeed())
			}
			g.Eventually(func() int64 { // One that is left at once still counts as answered.
				return closed(d, keepalive.CallerClosed) + closed(d, keepalive.Answered)
			}, patience).Should(BeEquivalentTo(10))
			g.Expect(closed(d, keepalive.ProcessEnd)).To(BeZero())
		})
	}
}
