// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"crypto/ed25519"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/golden"
)

func TestGolden(t *testing.T) {
	golden.Run(t, func(files map[string][]byte) string {
		if _, err := New(Version{}, files); err != nil {
			return err.Error()
		}
		return ""
	})
}

func key(seed string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(seed, ed25519.SeedSize)))
}

func TestManifestIsTheOperatorsWord(t *testing.T) {
	g := gomega.NewWithT(t)
	values := map[string][]byte{"policy/a.ini": []byte("[policy]\n"), "policy/b.ini": []byte("[policy]\n")}
	m := Pack(3, "", values, key("a"))
	pub := key("a").Public().(ed25519.PublicKey)
	g.Expect(m.Verify(pub)).To(gomega.Succeed())
	g.Expect(m.Verify(key("b").Public().(ed25519.PublicKey))).NotTo(gomega.Succeed(), "another's key")
	changed := m
	changed.Body.Generation = 4
	g.Expect(changed.Verify(pub)).NotTo(gomega.Succeed(), "a changed number")
	again, err := ParseManifest(m.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Version()).To(gomega.Equal(m.Version()), "the hash survives the wire")
	g.Expect(Pack(3, "", values, key("a")).Version()).To(gomega.Equal(m.Version()), "and is the same each time")
}

func FuzzManifest(f *testing.F) {
	m := Pack(1, "", map[string][]byte{"policy/a.ini": nil}, key("a"))
	f.Add(m.Encode())
	f.Add([]byte(`{"body":{"generation":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := ParseManifest(raw)
		if err != nil {
			return
		}
		if got.Verify(key("a").Public().(ed25519.PublicKey)) == nil && got.Version() != m.Version() {
			t.Fatal("a manifest that nobody signed was verified")
		}
	})
}

func FuzzConfig(f *testing.F) {
	f.Add("policy/a.ini", "[policy]\npriority = 1\n")
	f.Add("customer/a.ini", "[customer]\nkey-hash = 00\nrate = -1\n")
	f.Add("group/g.ini", "[group]\nmodel = m\n[endpoint e]\ndomain = d\n")
	f.Add("policy/a.ini", "[policy\n=\n")
	f.Add("policy/a.ini", "[policy]\nretry = [1,2].all(x, [1,2].all(y, x == y))\n")
	f.Fuzz(func(_ *testing.T, name, text string) {
		_, _ = New(Version{}, map[string][]byte{name: []byte(text)}) // It must return.
	})
}
