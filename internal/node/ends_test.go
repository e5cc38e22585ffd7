// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// isolatedNode returns a node that is not running, and thus sends nothing by itself.
func isolatedNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(&settings.Settings{Name: "n", GossipInterval: time.Second}, zap.NewNop())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return n
}

// abortingPeer starts a peer that answers each request with the same bytes and then closes the
// connection gracefully, as at the end of a process.
func abortingPeer(t *testing.T, response string) (address string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = rw.WriteString(response)
		_ = rw.Flush()
		_ = c.Close()
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestTruncatedAnswerOfAPeerIsAnError(t *testing.T) {
	sized := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	}
	for _, one := range []struct {
		name, answer string
		whole        bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf", true},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", false},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", false},
		{"as large as the limit", sized(published.MaxValueBytes), true},
		{"larger than the limit", sized(published.MaxValueBytes + 2), false},
	} {
		t.Run(one.name, func(t *testing.T) {
			_, err := isolatedNode(t).PeerGet(context.Background(), abortingPeer(t, one.answer), "/")
			NewWithT(t).Expect(err == nil).To(Equal(one.whole), "%v", err)
		})
		if one.whole {
			continue // Not JSON, so not a valid reply to a call.
		}
		t.Run("call, "+one.name, func(t *testing.T) {
			var reply any
			err := isolatedNode(t).Call(context.Background(), abortingPeer(t, one.answer), "/", struct{}{}, &reply)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestOperatorAnswersHaveAContentLength(t *testing.T) {
	n := isolatedNode(t)
	for i := range 200 {
		metrics.GetOrRegisterCounter(fmt.Sprint("some.counter.", i), n.Metrics()).Inc(1)
	}
	mux := n.OperatorsMux()
	for _, path := range []string{PathMetrics, PathStatus, PathAudit} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			g.Expect(w.Code).To(Equal(http.StatusOK))
			g.Expect(w.Header().Get("Content-Length")).To(Equal(strconv.Itoa(w.Body.Len())))
		})
	}
}

// Guards against a panic while a message is pushed to one peer that ends the process.
func TestPanicInAPushIsContained(t *testing.T) {
	g := NewWithT(t)
	n := isolatedNode(t)
	n.suspects = nil
	ctx, cancel := context.WithCancel(context.Background())
	var pushing errgroup.Group
	pushing.Go(func() error { return n.push(ctx) })
	for range 2 {
		n.pushes.Offer(member.Member{Address: "a"})
	}
	g.Eventually(metrics.GetOrRegisterCounter("process.panics.push", n.reg).Count, "20s").Should(BeEquivalentTo(2))
	cancel()
	g.Expect(pushing.Wait()).To(Succeed())
}
