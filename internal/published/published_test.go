// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package published

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

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

func TestNextReportsTheSameFaultsAsNew(t *testing.T) {
	g := gomega.NewWithT(t)
	values := designSizeValues()
	old, err := New(Version{Generation: 1}, values)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	values["customer/twin.ini"] = values["customer/customer-0003.ini"]
	values["policy/policy-05.ini"] = []byte("[policy]\nretry = 1\n")
	delete(values, "policy/policy-06.ini")
	_, fromNew := New(Version{Generation: 2}, values)
	_, fromNext := Next(old, Version{Generation: 2}, values)
	g.Expect(fromNew).To(gomega.HaveOccurred())
	g.Expect(fromNext).To(gomega.MatchError(fromNew.Error()), "the same faults, in the same order")
}

func key(seed string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(seed, ed25519.SeedSize)))
}

func TestManifestVerifiesOnlyWhatWasSigned(t *testing.T) {
	g := gomega.NewWithT(t)
	values := map[string][]byte{"policy/a.ini": []byte("[policy]\n"), "policy/b.ini": []byte("[policy]\n")}
	m := Pack(3, "", values, key("a"))
	pub := key("a").Public().(ed25519.PublicKey)
	g.Expect(m.Verify(pub)).To(gomega.Succeed())
	g.Expect(m.Verify(key("b").Public().(ed25519.PublicKey))).NotTo(gomega.Succeed(), "the key of another operator")
	changed := m
	changed.Body.Generation = 4
	g.Expect(changed.Verify(pub)).NotTo(gomega.Succeed(), "a changed generation")
	decoded, err := ParseManifest(m.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.Version()).To(gomega.Equal(m.Version()), "the hash does not change with encoding")
	g.Expect(Pack(3, "", values, key("a")).Version()).To(gomega.Equal(m.Version()), "the hash is deterministic")
}

func TestDeltaRestoresTheManifest(t *testing.T) {
	values := func(names ...string) map[string][]byte {
		m := map[string][]byte{}
		for _, n := range names {
			m["policy/"+n] = []byte(n)
		}
		return m
	}
	changed := values("a", "b", "c")
	changed["policy/b"] = []byte("other")
	for name, pair := range map[string][2]map[string][]byte{
		"changed":            {values("a", "b", "c"), changed},
		"added at the front": {values("b"), values("a", "b")},
		"added at the end":   {values("a"), values("a", "b", "c")},
		"dropped":            {values("a", "b", "c"), values("b")},
		"all new":            {values("a", "b"), values("c", "d")},
		"the same":           {values("a"), values("a")},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			old, m := Pack(1, "", pair[0], key("a")), Pack(2, "", pair[1], key("a"))
			restored, err := m.DeltaFrom(old).Apply(old)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(restored.Version()).To(gomega.Equal(m.Version()))
			g.Expect(restored.Verify(key("a").Public().(ed25519.PublicKey))).To(gomega.Succeed())
			_, err = m.DeltaFrom(old).Apply(m)
			g.Expect(err).To(gomega.HaveOccurred(), "applied to another manifest")
		})
	}
}

// designSizeValues returns a generation of the size that the system is designed for: 1,600 customers,
// 21 policies, and 21 groups of 124 endpoints.
func designSizeValues() map[string][]byte {
	values := map[string][]byte{}
	for i := range 1600 {
		values[fmt.Sprintf("customer/customer-%04d.ini", i)] = fmt.Appendf(nil,
			"[customer]\nkey-hash = %064x\npolicy = policy-%02d\nrate = 100\nburst = 200\n", i, i%21)
	}
	for i := range 21 {
		values[fmt.Sprintf("policy/policy-%02d.ini", i)] = []byte(
			"[policy]\npriority = class == \"kiosk\" ? 9 : (class == \"till\" ? 6 : 1)\nretry = attempt < 3\nmove = tokens < 2000\n")
		text := fmt.Appendf(nil, "[group]\nmodel = model-%02d\n", i)
		for e := range 124 {
			text = fmt.Appendf(text, "\n[endpoint m%02d-r%03d]\ndomain = domain-%02d\nrank = %d\n", i, e, e%21, e)
		}
		values[fmt.Sprintf("group/group-%02d.ini", i)] = text
	}
	return values
}

// BenchmarkDesign measures the time to parse and check a generation of the design size, the memory that
// it occupies, and the bytes sent after a change of one value.
func BenchmarkDesign(b *testing.B) {
	values := designSizeValues()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var c *Config
	for b.Loop() {
		var err error
		if c, err = New(Version{}, values); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	start := time.Now()
	const changes = 20
	for i := range changes {
		values["customer/customer-0007.ini"] = fmt.Appendf(nil, "[customer]\nkey-hash = %064x\nrate = %d\n", 7, i)
		var err error
		if c, err = Next(c, Version{}, values); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000/changes, "ms/change")
	old := Pack(1, "", values, key("a"))
	values["customer/customer-0007.ini"] = []byte("[customer]\n")
	m := Pack(2, old.Version().Hash, values, key("a"))
	delta, _ := json.Marshal(m.DeltaFrom(old))
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
	b.ReportMetric(float64(len(m.Encode())), "manifest-B")
	b.ReportMetric(float64(len(delta)), "delta-B")
	runtime.KeepAlive(c)
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
		_, _ = New(Version{}, map[string][]byte{name: []byte(text)}) // Must terminate and not panic.
	})
}
