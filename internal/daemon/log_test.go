// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/keepalive"
)

// Guards against a process of an entry or an agent that stalls, or does not exit, because nobody
// reads its log.
func TestLoggingDoesNotWaitForTheReader(t *testing.T) {
	g := NewWithT(t)
	out := make(blockedWriter)
	defer close(out)
	log, lines, err := newLog(out, "info")
	g.Expect(err).NotTo(HaveOccurred())
	cleanup := startLogWriter(lines)
	for range 500 { // Log calls must not block.
		log.Info("audit", zap.String("cause", strings.Repeat("x", 500)))
	}
	cleanup()
}

// Guards against panics of handlers and accept errors that are not logged, and against callers that
// can fill the log.
func TestServersOfADaemonLogTheirFaults(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	conns := keepalive.New(keepalive.Config{Name: callersName}, zap.NewNop(), metrics.NewRegistry())
	fault := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault") })
	said := newServerLog(zap.New(core))
	one := newListener(&failingOnce{Listener: l, err: syscall.EMFILE}, fault, nil, conns, said)
	ctx, cancel := context.WithCancel(context.Background())
	var serving errgroup.Group
	serving.Go(func() error { return one.serve(ctx) })
	_, err = http.Post("http://"+l.Addr().String(), "", nil)
	g.Expect(err).To(HaveOccurred())
	cancel()
	g.Expect(serving.Wait()).To(Succeed())
	for _, text := range []string{"http: Accept error", "a fault"} {
		g.Eventually(logs.All, testTimeout).Should(ContainElement(HaveField("ContextMap()", HaveKeyWithValue("said", ContainSubstring(text)))))
	}
	before := logs.Len()
	said.Print("http: TLS handshake error from 127.0.0.1:1: EOF")
	g.Expect(logs.Len()).To(Equal(before), "a disconnecting caller is not logged")
	for i := range connLogSampling {
		said.Printf("http: panic serving 127.0.0.1:%d", i)
	}
	g.Expect(logs.Len()).To(BeNumerically("<", before+2*(connLogPerSecond+1)))
}
