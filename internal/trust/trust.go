// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package trust configures mutual TLS between the processes of the system and with operators. It reads
// certificates from files, and reads them again when they change. A certificate names its holder in a
// URI with role and failure domain. The package verifies that name; it opens no connections.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// uriScheme is the scheme of the URI that names the holder of a certificate.
const uriScheme = "canvaspulley"

// RoleOperator is the role in certificates of human operators.
const RoleOperator = "operator"

// Holder is the process or operator that a certificate belongs to.
type Holder struct {
	Role   string
	Domain string // Failure domain; "any" for operators.
	Name   string
}

// URI returns the URI that names h in a certificate.
func (h Holder) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: h.Domain, Path: "/" + h.Role + "/" + h.Name}
}

// HolderOf returns the holder named in a certificate.
func HolderOf(c *x509.Certificate) (h Holder, err error) {
	for _, u := range c.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if ok && role != "" && name != "" && u.Host != "" {
			return Holder{Role: role, Domain: u.Host, Name: name}, nil
		}
	}
	return h, errors.New("certificate names no holder")
}

// VerifyClaim checks that the peer of a connection is the sender that its message claims: a process may
// only send messages in its own name, role and failure domain. Without TLS nothing is checked.
func (c *Credentials) VerifyClaim(s *tls.ConnectionState, claimed Holder) (err error) {
	if !c.Enabled() {
		return nil
	}
	if s == nil || len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	h, err := HolderOf(s.PeerCertificates[0])
	if err != nil {
		return err
	}
	if h != claimed {
		return errors.Newf("certificate of %s speaks as %s", h.URI(), claimed.URI())
	}
	return nil
}

// recheckInterval is the minimum time between checks whether the files have changed.
const recheckInterval = time.Second

// Credentials holds the certificate that a process presents and the authorities that it requires of
// peers. Empty file names disable TLS.
type Credentials struct {
	ca, cert, key string

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time // Newest modification time of the files when they were read.
	pair      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files. Empty file names give credentials without TLS.
func Load(ca, cert, key string) (c *Credentials, err error) {
	c = &Credentials{ca: ca, cert: cert, key: key}
	if !c.Enabled() {
		return c, nil
	}
	return c, c.reload()
}

// Enabled reports whether TLS is enabled.
func (c *Credentials) Enabled() bool { return c.ca != "" }

// Scheme returns the URL scheme for connections to peers.
func (c *Credentials) Scheme() string {
	if c.Enabled() {
		return "https"
	}
	return "http"
}

func (c *Credentials) reload() (err error) {
	defer func() { err = errors.Wrap(err, "credentials") }()
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(c.ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Newf("%s holds no certificate", c.ca)
	}
	c.pair, c.pool, c.modTime = &pair, pool, c.newestModTime()
	return nil
}

func (c *Credentials) newestModTime() (t time.Time) {
	for _, name := range []string{c.ca, c.cert, c.key} {
		if fi, err := os.Stat(name); err == nil && fi.ModTime().After(t) {
			t = fi.ModTime()
		}
	}
	return t
}

// current returns the certificate and the pool of authorities, read again if the files have changed. If
// a file cannot be read, the previous ones stay in use.
func (c *Credentials) current() (pair *tls.Certificate, pool *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) > recheckInterval {
		c.checkedAt = now
		if c.newestModTime().After(c.modTime) {
			_ = c.reload()
		}
	}
	return c.pair, c.pool
}

// Client returns the TLS configuration for connections to peers, or nil without TLS.
func (c *Credentials) Client() *tls.Config {
	if !c.Enabled() {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // verify checks the chain and the holder instead of a host name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verify(s, x509.ExtKeyUsageServerAuth, "entry", "endpoint")
		},
	}
}

// Server returns the TLS configuration of a listener that accepts the given roles, or nil without TLS.
// onRefused is called for each connection whose certificate verify refuses.
func (c *Credentials) Server(onRefused func(error), roles ...string) *tls.Config {
	if !c.Enabled() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			err := c.verify(s, x509.ExtKeyUsageClientAuth, roles...)
			if err != nil {
				onRefused(err)
			}
			return err
		},
	}
}

// verify checks the chain and the validity period of the peer's certificate, and that it names a holder with
// one of the roles.
func (c *Credentials) verify(s tls.ConnectionState, usage x509.ExtKeyUsage, roles ...string) (err error) {
	defer func() { err = errors.Wrap(err, "peer refused") }()
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	_, pool := c.current()
	leaf := s.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, one := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(one)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return err
	}
	h, err := HolderOf(leaf)
	if err != nil {
		return err
	}
	for _, r := range roles {
		if r == h.Role {
			return nil
		}
	}
	return errors.Newf("role %q of %s is not accepted here", h.Role, h.Name)
}
