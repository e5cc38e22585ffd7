// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/published"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// packCommand signs a folder of configuration as one generation.
type packCommand struct {
	app        *app
	Generation uint64 `long:"generation" required:"yes" description:"number of the generation; higher than the one in force"`
	Parent     string `long:"parent" value-name:"FILE.json" description:"bundle that this one was made from"`
	Key        string `long:"key" required:"yes" value-name:"FILE" description:"the operators' signing key"`
	Out        string `long:"out" required:"yes" value-name:"FILE.json" description:"where to write the bundle"`
	Args       struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes" required:"yes"`
}

// readSigningKey reads a base64 Ed25519 seed.
func readSigningKey(name string) (key ed25519.PrivateKey, err error) {
	defer func() { err = errors.Wrapf(err, "signing key %s", name) }()
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(string(bytes.TrimSpace(raw)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.New("not a base64 Ed25519 seed")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// Execute validates the folder, signs it and writes the bundle; an invalid folder is not packed.
func (v *packCommand) Execute([]string) (err error) {
	if v.Generation == 0 {
		return errors.New("--generation must be at least 1")
	}
	values, err := readFolder(v.Args.Dir)
	if err != nil {
		return err
	}
	if _, err := published.New(published.Version{}, values); err != nil {
		return err
	}
	key, err := readSigningKey(v.Key)
	if err != nil {
		return err
	}
	parent, err := v.parent()
	if err != nil {
		return err
	}
	m := published.Pack(v.Generation, parent, values, key)
	raw, err := json.Marshal(standin.Bundle{Manifest: m, Values: values})
	if err != nil {
		return err
	}
	if err := writeFile(v.Out, raw, false); err != nil {
		return err
	}
	fmt.Fprintf(v.app.out, "generation %d, hash %s, %d values\n", v.Generation, m.Version().Hash, len(values))
	return nil
}

// parent returns the hash of the parent bundle, or "" when there is none. The parent's generation must be
// lower.
func (v *packCommand) parent() (hash string, err error) {
	if v.Parent == "" {
		return "", nil
	}
	raw, err := os.ReadFile(v.Parent)
	if err != nil {
		return "", err
	}
	var b standin.Bundle
	if err := json.Unmarshal(raw, &b); err != nil {
		return "", errors.Wrap(err, v.Parent)
	}
	version := b.Manifest.Version()
	if version.Generation >= v.Generation {
		return "", errors.Newf("the parent's generation is %d; --generation must be higher", version.Generation)
	}
	return version.Hash, nil
}
