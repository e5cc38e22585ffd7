// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/trust"
)

// keysCommand creates the CA, certificates and signing key of a small site.
type keysCommand struct {
	app     *app
	Holders []string      `long:"holder" value-name:"ROLE/DOMAIN/NAME" description:"a certificate to make; may be repeated"`
	Valid   time.Duration `long:"valid" default:"8760h" description:"how long certificates are good"`
	Args    struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the files; the CA and the signing key are created only when they do not exist
// yet.
func (v *keysCommand) Execute([]string) (err error) {
	dir := v.Args.Dir
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	ca, err := v.loadOrCreateCA(dir)
	if err != nil {
		return err
	}
	if err := v.ensureSigningKey(dir); err != nil {
		return err
	}
	for _, text := range v.Holders {
		parts := strings.Split(text, "/")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
			return errors.Newf("--holder %q is not ROLE/DOMAIN/NAME", text)
		}
		h := trust.Holder{Role: parts[0], Domain: parts[1], Name: parts[2]}
		cert, key, err := ca.Issue(h, time.Now(), v.Valid)
		if err != nil {
			return err
		}
		if err := writePair(dir, h.Name, cert, key); err != nil {
			return err
		}
		fmt.Fprintf(v.app.out, "%s: %s.crt, %s.key\n", h.URI(), h.Name, h.Name)
	}
	return nil
}

func writePair(dir, name string, cert, key []byte) (err error) {
	if err := writeFile(filepath.Join(dir, name+".crt"), cert, false); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, name+".key"), key, true)
}

func (v *keysCommand) loadOrCreateCA(dir string) (ca *trust.Authority, err error) {
	cert, err1 := os.ReadFile(filepath.Join(dir, "ca.crt"))
	key, err2 := os.ReadFile(filepath.Join(dir, "ca.key"))
	if err1 == nil && err2 == nil {
		return trust.LoadAuthority(cert, key)
	}
	ca, cert, key, err = trust.NewAuthority(time.Now(), v.Valid)
	if err != nil {
		return nil, err
	}
	return ca, writePair(dir, "ca", cert, key)
}

func (v *keysCommand) ensureSigningKey(dir string) (err error) {
	name := filepath.Join(dir, "operator.key")
	if _, err := os.Stat(name); err == nil {
		return nil
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	fmt.Fprintf(v.app.out, "operator-key = %s\n", base64.StdEncoding.EncodeToString(public))
	return writeFile(name, []byte(base64.StdEncoding.EncodeToString(private.Seed())+"\n"), true)
}
