// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/requestid"
	"github.com/canvaspulley/canvaspulley/internal/settings"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/trust"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

const (
	// keptConns is the number of idle connections when a planned stop begins.
	keptConns = 400
	// unadvertisedUse is how long after the start of a planned stop connections are used for which
	// no keep-alive timeout was advertised.
	unadvertisedUse = 2 * time.Second
	// unusedConnUse is how long after connecting callers send their first request.
	unusedConnUse = time.Second
)

// testProcess holds the settings of one daemon and the servers that it needs.
type testProcess struct {
	layout    *example.Site
	dir       string // For certificates.
	authority *trust.Authority
	set       *settings.Settings
	service   *countingService
}

// countingService counts the calls of each path.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
}

func (s *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.URL.RequestURI()]++
	w.Header().Set("Content-Length", "0")
}

// newTestProcess prepares a process: an entry, or an agent of a plain service.
func newTestProcess(t *testing.T, role adapter.Role, secure bool) *testProcess {
	t.Helper()
	g := NewWithT(t)
	layout, err := example.New(example.RefundDesk, example.MinimalSize, 0)
	g.Expect(err).NotTo(HaveOccurred())
	s := &testProcess{layout: layout, service: &countingService{runs: map[string]int{}}}
	p := layout.Entries[0]
	for _, one := range layout.Agents {
		if role == adapter.RoleEndpoint && !layout.IsRank(one) {
			p = one
		}
	}
	if secure {
		s.dir = t.TempDir()
		layout.TLSDir = s.dir
		var ca []byte
		s.authority, ca, _, err = trust.NewAuthority(time.Now(), time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(filepath.Join(s.dir, "ca.crt"), ca, 0o600)).To(Succeed())
		s.issue(t, trust.Holder{Role: string(p.Role), Domain: p.Domain, Name: p.Name})
	}
	dir := standin.NewDirectory()
	dir.Publish(standin.Bundle{Manifest: layout.Pack(1, "", layout.Published()), Values: layout.Published()})
	directory := httptest.NewServer(standin.NewView(dir).Handler())
	t.Cleanup(directory.Close)
	service := httptest.NewServer(s.service)
	t.Cleanup(service.Close)
	s.set, err = settings.Parse("test.ini", layout.Settings(p))
	g.Expect(err).NotTo(HaveOccurred())
	s.set.ConfigServiceURL, s.set.InstancesURL, s.set.SourceIP, s.set.Seeds = directory.URL, directory.URL, "", nil
	s.set.PeersAddress, s.set.OperatorsAddress, s.set.AdvertisedAddress = "127.0.0.1:0", "127.0.0.1:0", ""
	if role == adapter.RoleEntry {
		s.set.CallersAddress = "127.0.0.1:0"
	} else {
		s.set.ServiceURL = service.URL
	}
	return s
}

// issue writes a holder's certificate and key.
func (s *testProcess) issue(t *testing.T, h trust.Holder) {
	g := NewWithT(t)
	cert, key, err := s.authority.Issue(h, time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(s.dir, h.Name+".crt"), cert, 0o600)).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(s.dir, h.Name+".key"), key, 0o600)).To(Succeed())
}

// client returns the client's TLS configuration for a holder, nil without TLS.
func (s *testProcess) client(t *testing.T, h trust.Holder) *tls.Config {
	if s.authority == nil {
		return nil
	}
	s.issue(t, h)
	c, err := trust.Load(filepath.Join(s.dir, "ca.crt"), filepath.Join(s.dir, h.Name+".crt"), filepath.Join(s.dir, h.Name+".key"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c.Client()
}

// run starts the daemon and waits until it accepts requests; change may edit it before. The
// returned function waits for the end of the planned stop.
func (s *testProcess) run(t *testing.T, change func(*Daemon)) (d *Daemon, ended func() error) {
	t.Helper()
	g := NewWithT(t)
	d, _, err := New(s.set, zap.NewNop())
	g.Expect(err).NotTo(HaveOccurred())
	if change != nil {
		change(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		g.Expect(group.Wait()).To(Succeed())
	})
	g.Eventually(d.Node().Refusal, testTimeout).Should(BeNil())
	return d, group.Wait
}

// target is a listener of a process as its clients use it.
type target struct {
	address string
	tls     *tls.Config
	request func(id string) string
	// idleLimit is how long clients keep an idle connection; 0 for as long as advertised, or
	// without a limit.
	idleLimit time.Duration
}

// keptConn is a connection that its client keeps for further requests.
type keptConn struct {
	target      *target
	id          string
	c           net.Conn
	br          *bufio.Reader
	lastAnswer  time.Time     // When the last answer arrived; when it connected, if unused.
	keepAlive   time.Duration // Advertised keep-alive timeout; 0 if none was advertised.
	toldToClose bool          // The last answer asked to close the connection.
	unused      bool          // It was opened in advance, and has carried no request yet.
}

func (f *target) dial(t *testing.T, id string) *keptConn {
	t.Helper()
	g := NewWithT(t)
	c, err := net.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	if f.tls != nil {
		c = tls.Client(c, f.tls)
	}
	return &keptConn{target: f, id: id, c: c, br: bufio.NewReader(c)}
}

// roundTrip sends a request and reads its answer; err is set if the connection ended without a
// complete answer.
func (k *keptConn) roundTrip(id string) (status int, err error) {
	if err = k.c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return 0, err
	}
	if _, err = io.WriteString(k.c, k.target.request(id)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	k.lastAnswer, k.toldToClose = time.Now(), resp.Close
	if text, ok := strings.CutPrefix(resp.Header.Get("Keep-Alive"), "timeout="); ok {
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return 0, err
		}
		k.keepAlive = time.Duration(seconds) * time.Second
	}
	return resp.StatusCode, nil
}

// lastUse returns when the client uses the connection for the last time, if a planned stop began at
// the given time.
func (k *keptConn) lastUse(stop time.Time) time.Time {
	const longest = 15 * time.Second
	switch {
	case k.target.idleLimit > 0:
		return k.lastAnswer.Add(min(k.target.idleLimit, longest))
	case k.unused:
		return k.lastAnswer.Add(unusedConnUse)
	case k.keepAlive > 0:
		return k.lastAnswer.Add(min(k.keepAlive, longest))
	}
	return stop.Add(unadvertisedUse)
}

// openKept opens connections that are kept after one answer each.
func (f *target) openKept(t *testing.T) (list []*keptConn) {
	t.Helper()
	const atOnce = 16
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i := range keptConns {
		k := f.dial(t, fmt.Sprint("k", i))
		list = append(list, k)
		group.Go(func() error {
			status, err := k.roundTrip("first-" + k.id)
			refused := status == http.StatusServiceUnavailable && !k.toldToClose // Possible on a busy machine.
			if err != nil || status != http.StatusOK && !refused {
				return errors.Newf("first answer: status %d, %v", status, err)
			}
			return nil
		})
	}
	NewWithT(t).Expect(group.Wait()).To(Succeed())
	return list
}

// openUnused opens connections in advance, without sending a request.
func (f *target) openUnused(t *testing.T, n int) (list []*keptConn) {
	t.Helper()
	for i := range n {
		k := f.dial(t, fmt.Sprint("f", i))
		if c, ok := k.c.(*tls.Conn); ok {
			NewWithT(t).Expect(c.Handshake()).To(Succeed())
		}
		k.lastAnswer, k.unused = time.Now(), true
		list = append(list, k)
	}
	return list
}

// requestAgain sends one more request on each connection: on half of them at any time at which it
// is allowed, on the others close to the end of that time. It returns the errors of those without
// an answer, and how many answers did not ask to close the connection though an earlier one did.
func requestAgain(t *testing.T, list []*keptConn, stop time.Time) (lost map[string]error, staying int) {
	t.Helper()
	const end = 200 * time.Millisecond
	lost = map[string]error{}
	late := 0
	var firstTold time.Time // When the first answer asked to close a connection.
	var mu sync.Mutex
	var group errgroup.Group
	for i, k := range list {
		lastUse := k.lastUse(stop)
		before := lastUse.Sub(stop)
		if i%2 == 1 {
			before = end
		}
		at := lastUse.Add(-before * time.Duration(i+1) / time.Duration(len(list)+1))
		group.Go(func() error {
			time.Sleep(time.Until(at))
			sent := time.Now()
			_, err := k.roundTrip(k.id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case sent.After(lastUse): // Sent too late, because this machine is busy.
				late++
			case err != nil:
				lost[k.id] = err
			case k.toldToClose:
				if firstTold.IsZero() {
					firstTold = time.Now()
				}
			case !firstTold.IsZero() && sent.After(firstTold):
				staying++
			}
			return nil
		})
	}
	g := NewWithT(t)
	g.Expect(group.Wait()).To(Succeed())
	t.Logf("%d of %d callers got no answer; %d sent too late; %d answers kept a connection open", len(lost), len(list), late, staying)
	g.Expect(firstTold.IsZero()).To(BeFalse(), "some caller sends in time and is asked to close its connection")
	return lost, staying
}

// handledCount counts the requests without an answer that reached the service nevertheless.
func (s *testProcess) handledCount(lost map[string]error) (n int) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	for id := range lost {
		n += s.service.runs[s.path(id)]
	}
	return n
}

func (s *testProcess) path(id string) string { return s.layout.Path + "read?id=" + id }

// callers returns the callers' listener of an entry.
func (s *testProcess) callers(d *Daemon) *target {
	return &target{address: d.Addresses()[2], request: func(string) string {
		return fmt.Sprintf("GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", s.layout.Customers[0].Key)
	}}
}

// peers returns the peers' listener of an agent, as entries use it.
func (s *testProcess) peers(t *testing.T, d *Daemon) *target {
	return &target{
		address:   d.Addresses()[0],
		idleLimit: adapter.NewTransport("").IdleConnTimeout,
		tls:       s.client(t, trust.Holder{Role: string(adapter.RoleEntry), Domain: s.set.Domain, Name: "some-entry"}),
		request: func(id string) string {
			env, _ := json.Marshal(wire.Envelope{
				ID: requestid.New() + "~1", Kind: wire.KindCall, Endpoint: s.set.Endpoint,
				Customer: "c", Weight: 1, Method: http.MethodGet, Path: s.path(id),
			})
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.PathRun, wire.HeaderEnvelope, env)
		},
	}
}

// operators returns the operators' listener of a process.
func (s *testProcess) operators(t *testing.T, d *Daemon) *target {
	return &target{
		address: d.Addresses()[1],
		tls:     s.client(t, trust.Holder{Role: trust.RoleOperator, Domain: "any", Name: "somebody"}),
		request: func(string) string { return "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n" },
	}
}

// Guards against connections that the end of a planned stop closes during requests.
func TestAPlannedStopClosesNoConnectionThatCallersMayStillUse(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		role   adapter.Role
		secure bool
		face   func(s *testProcess, t *testing.T, d *Daemon) *target
	}{
		"callers of an entry":     {adapter.RoleEntry, false, func(s *testProcess, _ *testing.T, d *Daemon) *target { return s.callers(d) }},
		"peers of an agent":       {adapter.RoleEndpoint, false, (*testProcess).peers},
		"peers of an agent, TLS":  {adapter.RoleEndpoint, true, (*testProcess).peers},
		"operators of an entry":   {adapter.RoleEntry, false, (*testProcess).operators},
		"operators of agent, TLS": {adapter.RoleEndpoint, true, (*testProcess).operators},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestProcess(t, tc.role, tc.secure)
			d, ended := s.run(t, nil)
			f := tc.face(s, t, d)
			callers := f.openKept(t)
			callers = append(callers, f.openUnused(t, keptConns/4)...)
			stop := time.Now()
			d.Node().Leave("test")
			lost, staying := requestAgain(t, callers, stop)
			g.Expect(len(lost)).To(BeZero())
			g.Expect(staying).To(BeZero())
			g.Expect(s.handledCount(lost)).To(BeZero())
			g.Expect(ended()).To(Succeed())
			t.Logf("the planned stop took %v", time.Since(stop))
		})
	}
}
