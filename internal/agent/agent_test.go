// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/duty"
	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// harness is an agent in the test process, with functions in place of its endpoint.
type harness struct {
	t        *testing.T
	agent    *Agent
	url      string
	endpoint string
}

// newHarness starts an agent and waits until it accepts requests; change may edit its settings.
func newHarness(t *testing.T, change func(*settings.Settings), engine *adapter.Engine, service *adapter.Service) *harness {
	t.Helper()
	b, n := startHarness(t, change, engine, service)
	gomega.NewWithT(t).Eventually(n.Refusal, "20s").Should(gomega.BeNil())
	return b
}

// startHarness starts an agent and its node, and returns at once.
func startHarness(t *testing.T, change func(*settings.Settings), engine *adapter.Engine, service *adapter.Service) (*harness, *node.Node) {
	t.Helper()
	g := gomega.NewWithT(t)
	layout, err := example.New(example.RefundDesk, example.MinimalSize, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	dir := standin.NewDirectory()
	dir.Publish(standin.Bundle{Manifest: layout.Pack(1, "", layout.Published()), Values: layout.Published()})
	directory := httptest.NewServer(standin.NewView(dir).Handler())
	t.Cleanup(directory.Close)
	p := layout.Agents[0]
	if service != nil {
		p = layout.Agents[1]
	}
	set, err := settings.Parse("test.ini", layout.Settings(p))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	set.ConfigServiceURL, set.InstancesURL, set.SourceIP = directory.URL, directory.URL, ""
	if change != nil {
		change(set)
	}
	n, err := node.New(set, zap.NewNop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a := New(n, engine, service)
	srv := httptest.NewServer(a.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error { return a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		directory.CloseClientConnections()
		srv.CloseClientConnections()
		srv.Close()
		_ = group.Wait()
	})
	return &harness{t, a, srv.URL, p.Endpoint}, n
}

// answer is the answer that an entry receives.
type answer struct {
	status  int
	outcome wire.Outcome
	body    string
	err     error
}

func (b *harness) send(env wire.Envelope, body string) answer {
	env.Endpoint, env.Weight = b.endpoint, 1
	if env.ID == "" {
		env.ID = requestid.New() + "~1"
	}
	text, _ := json.Marshal(env)
	req, _ := http.NewRequest(http.MethodPost, b.url+wire.PathRun, strings.NewReader(body))
	req.Header.Set(wire.HeaderEnvelope, string(text))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), string(raw), err}
}

func call(key string) wire.Envelope {
	return wire.Envelope{Kind: wire.KindCall, Method: http.MethodPost, Path: "/payments/pay", Key: key, NoRetry: true, Customer: "c"}
}

// countingService is a service that counts its runs, and blocks each until block is closed if that is not nil.
type countingService struct {
	mu    sync.Mutex
	runs  int
	block chan struct{}
	err   error
}

// count returns the number of runs so far.
func (c *countingService) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs
}

func (c *countingService) service() *adapter.Service {
	return &adapter.Service{Do: func(context.Context, adapter.Call) (adapter.Reply, error) {
		c.mu.Lock()
		c.runs++
		block, err := c.block, c.err
		c.mu.Unlock()
		if block != nil {
			<-block
		}
		return adapter.Reply{Status: http.StatusOK, MediaType: "text/plain", Body: []byte("paid")}, err
	}}
}

func TestCopiesOfAnAttemptRunOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{block: make(chan struct{})}
	b := newHarness(t, nil, nil, c.service())
	env := call("")
	env.ID = requestid.New() + "~1"
	first := make(chan answer, 1)
	var wg sync.WaitGroup
	wg.Go(func() { first <- b.send(env, "") })
	g.Eventually(b.agent.InFlight, "20s").Should(gomega.Equal(1))
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.Unknown), "a duplicate while the first copy runs")
	close(c.block)
	g.Expect((<-first).outcome).To(gomega.Equal(wire.Done))
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.Unknown), "a duplicate after the first copy has finished")
	g.Expect(c.count()).To(gomega.Equal(1))
	wg.Wait()
}

// A service's answer whose status is none was stored under the request's key, and the entry's connection ended
// without an answer, also when the stored answer was replayed.
func TestMalformedAnswerOfAServiceIsNotStored(t *testing.T) {
	for _, h := range headtest.Malformed() {
		t.Run(h.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, cleanup := headtest.Serve(t, h.Raw("", "paid"))
			defer cleanup()
			client := httphead.NewClient(adapter.NewSingleUseTransport(""))
			b := newHarness(t, nil, nil, adapter.NewService("http://"+address, client, client))
			key := requestid.NewKey(b.endpoint).String()
			for range 2 {
				a := b.send(call(key), "x")
				g.Expect(a.err).NotTo(gomega.HaveOccurred())
				g.Expect(a.outcome).To(gomega.Equal(wire.Unknown), "it may have run")
				g.Expect(a.status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusConflict))
			}
		})
	}
}

func TestKeysAreScopedToTheCustomer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{}
	b := newHarness(t, nil, nil, c.service())
	key := requestid.NewKey(b.endpoint).String()
	g.Expect(b.send(call(key), "x").outcome).To(gomega.Equal(wire.Done))
	g.Expect(b.send(call(key), "x").body).To(gomega.Equal("paid"))
	g.Expect(c.count()).To(gomega.Equal(1))
	g.Expect(b.send(call(key), "another request").status).To(gomega.Equal(http.StatusUnprocessableEntity))
	other := call(key)
	other.Customer = "d"
	g.Expect(b.send(other, "x").outcome).To(gomega.Equal(wire.Done))
	g.Expect(c.count()).To(gomega.Equal(2), "the same key of another customer is another key")
}

func TestOutcomes(t *testing.T) {
	check := func(name string, err error, want wire.Outcome, again wire.Outcome) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := &countingService{err: err}
			b := newHarness(t, nil, nil, c.service())
			env := call(requestid.NewKey(b.endpoint).String())
			g.Expect(b.send(env, "").outcome).To(gomega.Equal(want))
			g.Expect(b.send(env, "").outcome).To(gomega.Equal(again))
		})
	}
	check("service answers", nil, wire.Done, wire.Done)
	check("service aborts its answer", errors.New("broken"), wire.Unknown, wire.Unknown)
}

func TestKeyMintedAtTheFirstAdmissionRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{}
	b, n := startHarness(t, nil, nil, c.service())
	for deadline := time.Now().Add(20 * time.Second); n.Refusal() != nil && time.Now().Before(deadline); {
		time.Sleep(10 * time.Microsecond) // Keys have a resolution of a millisecond; the key is minted within it.
	}
	env := call(requestid.NewKey(b.endpoint).String())
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.Done))
}

func TestNotRunIsNeverReportedAfterTheSend(t *testing.T) {
	g := gomega.NewWithT(t)
	unreachable := adapter.NewService("http://"+closedPort(t), http.DefaultClient, &http.Client{Transport: adapter.NewSingleUseTransport("")})
	b := newHarness(t, nil, nil, unreachable)
	env := call(requestid.NewKey(b.endpoint).String())
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.NotRun), "no listener, so nothing was sent")
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.NotRun), "the key can be used again")

	counting := &countingService{}
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		counting.mu.Lock()
		counting.runs++
		counting.mu.Unlock()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	b = newHarness(t, nil, nil, adapter.NewService(srv.URL, http.DefaultClient, &http.Client{Transport: adapter.NewSingleUseTransport("")}))
	g.Expect(b.send(call(""), "").outcome).To(gomega.Equal(wire.Unknown))
	g.Expect(counting.count()).To(gomega.Equal(1))
}

func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func TestFullTablesRefuseAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{block: make(chan struct{})}
	b := newHarness(t, func(s *settings.Settings) { s.QueueCapacity, s.MinLimit, s.MaxLimit, s.MaxKeys = 1, 1, 1, 2 }, nil, c.service())
	var wg sync.WaitGroup
	answers := make(chan answer, 2)
	for i := range 2 {
		wg.Go(func() { answers <- b.send(call(requestid.NewKey(b.endpoint).String()), fmt.Sprint(i)) })
	}
	g.Eventually(b.agent.InFlight, "20s").Should(gomega.Equal(2))
	refused := b.send(call(""), "")
	g.Expect(refused.outcome).To(gomega.Equal(wire.NotRun))
	g.Expect(refused.body).To(gomega.ContainSubstring("queue full"))
	g.Expect(refused.body).To(gomega.ContainSubstring("retry_after_ms"))
	keyed := b.send(call(requestid.NewKey(b.endpoint).String()), "")
	g.Expect(keyed.outcome).To(gomega.Equal(wire.NotRun))
	g.Expect(keyed.body).To(gomega.ContainSubstring("no room to remember the key"))
	close(c.block)
	wg.Wait()
	for range 2 {
		g.Expect((<-answers).outcome).To(gomega.Equal(wire.Done))
	}
	g.Expect(c.count()).To(gomega.Equal(2))
}

func TestTombstoneRejectsALateAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{}
	b := newHarness(t, nil, nil, c.service())
	env := call("")
	env.ID = requestid.New() + "~1"
	raw, _ := json.Marshal(wire.OutcomeRequest{ID: env.ID})
	resp, err := http.Post(b.url+wire.PathOutcome, "application/json", bytes.NewReader(raw))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var reply wire.OutcomeReply
	g.Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(gomega.Succeed())
	_ = resp.Body.Close()
	g.Expect(reply.Outcome).To(gomega.Equal(wire.NotRun))
	g.Expect(b.send(env, "").outcome).To(gomega.Equal(wire.NotRun), "the attempt arrives after the query for its outcome")
	g.Expect(c.count()).To(gomega.BeZero())
}

func TestLeaveRejectsQueuedAndFinishesRunningRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &countingService{block: make(chan struct{})}
	b := newHarness(t, func(s *settings.Settings) { s.MinLimit, s.MaxLimit = 1, 1 }, nil, c.service())
	var wg sync.WaitGroup
	running, queued := make(chan answer, 1), make(chan answer, 1)
	wg.Go(func() { running <- b.send(call(""), "") })
	g.Eventually(b.agent.InFlight, "20s").Should(gomega.Equal(1))
	wg.Go(func() { queued <- b.send(call(""), "") })
	g.Eventually(b.agent.InFlight, "20s").Should(gomega.Equal(2))
	b.agent.node.Leave("test")
	g.Expect((<-queued).outcome).To(gomega.Equal(wire.NotRun), "queued requests are refused at once")
	g.Expect(b.send(call(""), "").outcome).To(gomega.Equal(wire.NotRun))
	close(c.block)
	g.Expect((<-running).outcome).To(gomega.Equal(wire.Done))
	wg.Wait()
}

// engineWithStream returns an engine whose stream is the text that stream returns.
func engineWithStream(stream func(g adapter.Generate) string) *adapter.Engine {
	return &adapter.Engine{
		Generate: func(_ context.Context, g adapter.Generate) (io.ReadCloser, error) {
			return io.NopCloser(strings.NewReader(stream(g))), nil
		},
		State: func(context.Context) (adapter.EngineState, error) {
			return adapter.EngineState{Step: uint64(time.Now().UnixNano())}, nil
		},
	}
}

// streamThrough sends the engine's output through an agent and returns the answer that an entry receives.
func streamThrough(t *testing.T, output func(id string) string) (*harness, answer) {
	t.Helper()
	b := newHarness(t, nil, engineWithStream(func(q adapter.Generate) string { return output(q.ID) }), nil)
	return b, b.send(wire.Envelope{Kind: wire.KindStream, Customer: "c"}, `{"prompt":"p","max_tokens":2}`)
}

func frame(id string, offset int, event, data string) string {
	return string(wire.AppendFrame(nil, wire.EventID{Request: id, Endpoint: "engine", Offset: offset}, event, []byte(data)))
}

func TestForeignLateAndDuplicateTokensAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	b, got := streamThrough(t, func(id string) string {
		return frame(id, 0, "", `"a"`) + frame("another~1", 1, "", `"x"`) + frame(id, 0, "", `"a"`) +
			frame(id, 2, "", `"c"`) + frame(id, 1, "", `"b"`) + frame(id, 2, wire.EventEnd, "{}")
	})
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(got.body, "data: ")).To(gomega.Equal(3), "two tokens and the end event")
	g.Expect(got.body).NotTo(gomega.ContainSubstring(`"x"`))
	records, _ := b.agent.node.Trail().Records()
	stray := 0
	for _, r := range records {
		if r.Kind == "stray-answer" {
			stray++
		}
	}
	g.Expect(stray).To(gomega.Equal(3), "one audit record for each dropped token")
}

func TestStreamWithoutEndEventIsAborted(t *testing.T) {
	_, got := streamThrough(t, func(id string) string { return frame(id, 0, "", `"a"`) })
	gomega.NewWithT(t).Expect(got.err).To(gomega.HaveOccurred(), "a truncated answer must not look complete")
}

func TestOnlyTheEndEventOfTheEngineEndsAStream(t *testing.T) {
	for _, one := range []struct {
		name string
		last func(id string) string // What the engine sends after one token.
	}{
		{"an event that is not a token, then the end event", func(id string) string {
			return frame(id, 1, "error", `{"error":"out of memory"}`) + frame(id, 2, wire.EventEnd, "{}")
		}},
		{"an event that is not a token, then the end event with its offset", func(id string) string {
			return frame(id, 1, "error", `{"error":"out of memory"}`) + frame(id, 1, wire.EventEnd, "{}")
		}},
		{"an event that only agents send, then the end event", func(id string) string {
			return frame(id, 1, wire.EventAlive, "{}") + frame(id, 2, wire.EventEnd, "{}")
		}},
		{"an end event out of sequence", func(id string) string { return frame(id, 2, wire.EventEnd, "{}") }},
		{"the end event of another request", func(string) string { return frame("another~1", 1, wire.EventEnd, "{}") }},
		{"an end event without an id", func(string) string { return "event: end\ndata: {}\n\n" }},
		{"a truncated end event", func(id string) string { return strings.TrimSuffix(frame(id, 1, wire.EventEnd, "{}"), "\n") }},
		{"an end event inside a token", func(id string) string {
			return "id: " + id + "/engine/1\ndata: \"b\"\ndata:\ndata: id: " + id + "/engine/2\ndata: event: end\ndata: data: {}\n\n"
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, got := streamThrough(t, func(id string) string { return frame(id, 0, "", `"a"`) + one.last(id) })
			g.Expect(got.err).To(gomega.HaveOccurred(), "a truncated answer must not look complete")
			frames := wire.NewFrameReader(strings.NewReader(got.body))
			for f, err := frames.Next(); err == nil; f, err = frames.Next() {
				g.Expect(f.Event).NotTo(gomega.Equal(wire.EventEnd))
			}
		})
	}
}

func TestEventsAfterTheEndEventAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	_, got := streamThrough(t, func(id string) string {
		return frame(id, 0, "", `"a"`) + frame(id, 1, wire.EventEnd, "{}") + frame(id, 1, "", `"late"`) + frame(id, 1, wire.EventEnd, "{}")
	})
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(got.body, "event: end")).To(gomega.Equal(1))
	g.Expect(got.body).NotTo(gomega.ContainSubstring("late"))
}

// Guards against a panic in the agent that closes the connection during a request, leaves the
// request counted as in flight, or does not report whether it ran.
func TestPanicIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		name    string
		inject  func(a *Agent)
		outcome wire.Outcome
	}{
		{"before the request is sent", func(a *Agent) {
			duty.Locked(&a.mu, func() { a.attempts = nil })
		}, wire.NotRun},
		{"after the request was sent", func(a *Agent) {
			a.service.Do = func(context.Context, adapter.Call) (adapter.Reply, error) { panic("a fault") }
		}, wire.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newHarness(t, nil, nil, (&countingService{}).service())
			tc.inject(b.agent)
			got := b.send(call(""), "")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError))
			g.Expect(got.outcome).To(gomega.Equal(tc.outcome))
			g.Eventually(b.agent.InFlight, "20s").Should(gomega.BeZero())
		})
	}
}
