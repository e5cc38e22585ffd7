// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// backdate is how long before its creation a certificate becomes valid, to tolerate differences between
// clocks.
const backdate = time.Minute

// Authority is the certificate authority of a small site.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and returns it together with its PEM encoding.
func NewAuthority(now time.Time, valid time.Duration) (a *Authority, certPEM, keyPEM []byte, err error) {
	defer func() { err = errors.Wrap(err, "make authority") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, nil, err
	}
	tmpl := template("canvaspulley CA", now, valid)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, nil, nil, err
	}
	certPEM, keyPEM, err = encode(der, key)
	if err != nil {
		return nil, nil, nil, err
	}
	a, err = LoadAuthority(certPEM, keyPEM)
	return a, certPEM, keyPEM, err
}

// LoadAuthority decodes an authority from PEM.
func LoadAuthority(certPEM, keyPEM []byte) (a *Authority, err error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.New("load authority: not a CA with an ECDSA key")
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

func template(name string, now time.Time, valid time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // The system's source of randomness failed.
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}
}

// Issue issues a certificate for a holder.
func (a *Authority) Issue(h Holder, now time.Time, valid time.Duration) (certPEM, keyPEM []byte, err error) {
	defer func() { err = errors.Wrapf(err, "certificate for %s", h.Name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	tmpl := template(h.Name, now, valid)
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if h.Role != RoleOperator {
		tmpl.ExtKeyUsage = append(tmpl.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	tmpl.URIs = []*url.URL{h.URI()}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	return encode(der, key)
}

func encode(der []byte, key *ecdsa.PrivateKey) (certPEM, keyPEM []byte, err error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})
	return certPEM, keyPEM, nil
}
