// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package trust

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// issue writes a holder's certificate and the CA's to a folder and returns the
// credentials.
func issue(t *testing.T, dir string, ca *Authority, caPEM []byte, h Holder, from time.Time, valid time.Duration) *Credentials {
	t.Helper()
	g := gomega.NewWithT(t)
	cert, key, err := ca.Issue(h, from, valid)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	names := map[string][]byte{"ca.crt": caPEM, h.Name + ".crt": cert, h.Name + ".key": key}
	for name, data := range names {
		g.Expect(os.WriteFile(filepath.Join(dir, name), data, 0o600)).To(gomega.Succeed())
	}
	c, err := Load(filepath.Join(dir, "ca.crt"), filepath.Join(dir, h.Name+".crt"), filepath.Join(dir, h.Name+".key"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

func newAuthority(t *testing.T) (ca *Authority, pem []byte) {
	t.Helper()
	ca, pem, _, err := NewAuthority(time.Now(), time.Hour)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return ca, pem
}

// listen serves with the credentials and returns the address and the count of
// refusals.
func listen(t *testing.T, c *Credentials, roles ...string) (url string, refused *atomic.Int32) {
	t.Helper()
	refused = &atomic.Int32{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "in") }))
	srv.Listener = tls.NewListener(srv.Listener, c.Server(func(error) { refused.Add(1) }, roles...))
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Start()
	t.Cleanup(srv.Close)
	return "https://" + srv.Listener.Addr().String(), refused
}

func get(cfg *tls.Config, url string) error {
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return err
}

func TestEachWrongCredentialAtEachListener(t *testing.T) {
	ca, pem := newAuthority(t)
	foreign, foreignPEM := newAuthority(t)
	server := issue(t, t.TempDir(), ca, pem, Holder{"endpoint", "krk-a", "agent"}, time.Now(), time.Hour)
	now := time.Now()
	clients := map[string]*tls.Config{
		"entry":     issue(t, t.TempDir(), ca, pem, Holder{"entry", "krk-a", "entry"}, now, time.Hour).Client(),
		"operator":  issue(t, t.TempDir(), ca, pem, Holder{RoleOperator, "any", "operator"}, now, time.Hour).Client(),
		"expired":   issue(t, t.TempDir(), ca, pem, Holder{"entry", "krk-a", "old"}, now.Add(-time.Hour), time.Minute).Client(),
		"not yet":   issue(t, t.TempDir(), ca, pem, Holder{"entry", "krk-a", "new"}, now.Add(time.Hour), time.Hour).Client(),
		"foreign":   issue(t, t.TempDir(), foreign, foreignPEM, Holder{"entry", "krk-a", "foreign"}, now, time.Hour).Client(),
		"no holder": issue(t, t.TempDir(), ca, pem, Holder{"", "", "nobody"}, now, time.Hour).Client(),
		"nothing":   {InsecureSkipVerify: true},
	}
	clients["foreign"].VerifyConnection = nil // Whoever breaks in does not mind who is there.
	for listener, roles := range map[string][]string{"peers": {"entry", "endpoint"}, "operators": {RoleOperator}} {
		url, refused := listen(t, server, roles...)
		for name, cfg := range clients {
			t.Run(name+" at "+listener, func(t *testing.T) {
				g := gomega.NewWithT(t)
				before := refused.Load()
				err := get(cfg, url)
				if name == "entry" && listener == "peers" || name == "operator" && listener == "operators" {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					return
				}
				g.Expect(err).To(gomega.HaveOccurred())
				if name != "nothing" { // Without a certificate TLS itself refuses.
					g.Expect(refused.Load()).To(gomega.Equal(before+1), "each refusal is told")
				}
			})
		}
	}
}

func TestAProcessSpeaksForItselfOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, pem := newAuthority(t)
	mine := Holder{"entry", "krk-a", "entry"}
	c := issue(t, t.TempDir(), ca, pem, mine, time.Now(), time.Hour)
	pair, _ := c.current()
	s := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{pair.Leaf}}
	g.Expect(c.VerifyClaim(s, mine)).To(gomega.Succeed())
	for _, other := range []Holder{{"entry", "krk-b", "entry"}, {"endpoint", "krk-a", "entry"}, {"entry", "krk-a", "other"}, {}} {
		g.Expect(c.VerifyClaim(s, other)).NotTo(gomega.Succeed())
	}
	g.Expect(c.VerifyClaim(nil, mine)).NotTo(gomega.Succeed())
}

func TestClientRefusesAWrongServer(t *testing.T) {
	ca, pem := newAuthority(t)
	foreign, foreignPEM := newAuthority(t)
	client := issue(t, t.TempDir(), ca, pem, Holder{"entry", "krk-a", "entry"}, time.Now(), time.Hour).Client()
	for name, c := range map[string]*Credentials{
		"foreign":  issue(t, t.TempDir(), foreign, foreignPEM, Holder{"endpoint", "krk-a", "agent"}, time.Now(), time.Hour),
		"operator": issue(t, t.TempDir(), ca, pem, Holder{RoleOperator, "any", "operator"}, time.Now(), time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := listen(t, c, "entry")
			gomega.NewWithT(t).Expect(get(client, url)).To(gomega.MatchError(gomega.ContainSubstring("peer refused")))
		})
	}
}

func TestCertificatesAreReadAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, pem := newAuthority(t)
	dir := t.TempDir()
	server := issue(t, dir, ca, pem, Holder{"endpoint", "krk-a", "agent"}, time.Now(), time.Hour)
	first, _ := server.current()
	issue(t, dir, ca, pem, Holder{"endpoint", "krk-a", "agent"}, time.Now(), time.Hour)
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(filepath.Join(dir, "agent.crt"), later, later)).To(gomega.Succeed())
	server.mu.Lock()
	server.looked = time.Time{}
	server.mu.Unlock()
	second, _ := server.current()
	g.Expect(second.Leaf.SerialNumber).NotTo(gomega.Equal(first.Leaf.SerialNumber))
	g.Expect(os.WriteFile(filepath.Join(dir, "agent.crt"), []byte("half"), 0o600)).To(gomega.Succeed())
	later = later.Add(time.Minute)
	g.Expect(os.Chtimes(filepath.Join(dir, "agent.crt"), later, later)).To(gomega.Succeed())
	server.mu.Lock()
	server.looked = time.Time{}
	server.mu.Unlock()
	third, _ := server.current()
	g.Expect(third.Leaf.SerialNumber).To(gomega.Equal(second.Leaf.SerialNumber), "a faulty file leaves the old one in use")
}
