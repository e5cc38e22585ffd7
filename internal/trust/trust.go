// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package trust is the mutual TLS between the system's processes and towards
// operators. Certificates come from files that are read again when they
// change. A certificate names its holder in a URI, role and failure domain
// included; the package judges that name and opens no connections.
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

// scheme is the scheme of the URI that names a holder.
const scheme = "canvaspulley"

// RoleOperator is the role in the certificates of people.
const RoleOperator = "operator"

// Holder is who a certificate belongs to.
type Holder struct {
	Role   string
	Domain string // Failure domain; "any" for operators.
	Name   string
}

// URI returns the name that goes into a certificate.
func (h Holder) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: h.Domain, Path: "/" + h.Role + "/" + h.Name}
}

// HolderOf reads the holder from a certificate.
func HolderOf(c *x509.Certificate) (h Holder, err error) {
	for _, u := range c.URIs {
		if u.Scheme != scheme {
			continue
		}
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if ok && role != "" && name != "" && u.Host != "" {
			return Holder{Role: role, Domain: u.Host, Name: name}, nil
		}
	}
	return h, errors.New("certificate names no holder")
}

// VerifyClaim checks that the other side of a connection is who its message says: a
// process speaks for itself only, in its own role and failure domain. Without
// TLS there is nothing to check.
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

// recheck is how long a read of the files is good for.
const recheck = time.Second

// Credentials is what a process shows and asks for. The zero set of files
// turns TLS off.
type Credentials struct {
	ca, cert, key string

	mu     sync.Mutex
	looked time.Time
	stamp  time.Time // Newest change among the files when they were read.
	pair   *tls.Certificate
	pool   *x509.CertPool
}

// Load reads the files; three empty names give credentials without TLS.
func Load(ca, cert, key string) (c *Credentials, err error) {
	c = &Credentials{ca: ca, cert: cert, key: key}
	if !c.Enabled() {
		return c, nil
	}
	return c, c.read()
}

// Enabled reports whether TLS is in use.
func (c *Credentials) Enabled() bool { return c.ca != "" }

// Scheme returns the URL scheme of peers.
func (c *Credentials) Scheme() string {
	if c.Enabled() {
		return "https"
	}
	return "http"
}

func (c *Credentials) read() (err error) {
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
	c.pair, c.pool, c.stamp = &pair, pool, c.newest()
	return nil
}

func (c *Credentials) newest() (t time.Time) {
	for _, name := range []string{c.ca, c.cert, c.key} {
		if fi, err := os.Stat(name); err == nil && fi.ModTime().After(t) {
			t = fi.ModTime()
		}
	}
	return t
}

// current returns the credentials, read again if the files have changed. Files
// that cannot be read leave the old credentials in use.
func (c *Credentials) current() (pair *tls.Certificate, pool *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) > recheck {
		c.looked = now
		if c.newest().After(c.stamp) {
			_ = c.read()
		}
	}
	return c.pair, c.pool
}

// Client returns the TLS settings towards peers, nil without TLS.
func (c *Credentials) Client() *tls.Config {
	if !c.Enabled() {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // verify below checks the chain and the holder instead of a host name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verify(s, x509.ExtKeyUsageServerAuth, "entry", "endpoint")
		},
	}
}

// Server returns the TLS settings of a listener that lets in the given roles;
// nil without TLS. refused is told of each connection that is turned away.
func (c *Credentials) Server(refused func(error), roles ...string) *tls.Config {
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
				refused(err)
			}
			return err
		},
	}
}

// verify checks the chain, the dates and the holder of the other side.
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
	return errors.Newf("role %q of %s is not let in here", h.Role, h.Name)
}
