// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func TestMapsAreWrittenAndReadWhole(t *testing.T) {
	m := layout{{{0, 2, 300}, {}, {1}}, {{5}, {0, 1}, {299, 300}}}
	text := packMap(m)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := unpackMap(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(m))
	})
	bad := map[string][]byte{
		"too long":               append(append([]byte(nil), text...), 0),
		"a size that is no size": {0xff, 0xff, 0xff, 0xff, 0x0f, 0xff, 0xff, 0xff, 0xff, 0x0f},
	}
	for n := range len(text) {
		bad[fmt.Sprint("cut at ", n)] = text[:n]
	}
	for name, raw := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := unpackMap(raw)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestAChangeMakesTheNextMap(t *testing.T) {
	from := layout{{{0, 2}, {}, {1}}, {{5}, {0, 1}, {2, 300}}}
	to := layout{{{0, 2}, {2}, {1}}, {{5}, {0, 7}, {}}}
	raw := packChange(from, to)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := unpackChange(from, raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(to))
		g.Expect(from[0][1]).To(BeEmpty(), "what is changed stays as it is")
	})
	t.Run("of another size", func(t *testing.T) {
		_, err := unpackChange(from[:1], raw)
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("a row that is not there", func(t *testing.T) {
		_, err := unpackChange(from, appendRow(appendNumbers(nil, 2, 3, 6), nil))
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("nothing", func(t *testing.T) {
		g := NewWithT(t)
		back, err := unpackChange(from, packChange(from, from))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(from))
	})
}

func TestASidecarReadsChangesOfMapsThatItKnows(t *testing.T) {
	g := NewWithT(t)
	var s shelf
	first := dealt(2, 3, 7)
	second := dealt(2, 3, 7)
	second[1][2] = []int{0, 2}
	text := func(from, to layout) mapText {
		return mapText{Base: fingerprint(from), Experts: 7, Data: packChange(from, to)}
	}
	read, err := s.read(text(first, second))
	g.Expect(err).NotTo(HaveOccurred(), "the first map is known by its rule")
	g.Expect(read).To(Equal(second))

	third := dealt(2, 3, 7)
	third[0][0] = []int{6}
	_, err = (&shelf{}).read(text(second, third))
	g.Expect(err).To(MatchError(errNoBase), "a sidecar that has just started")
	read, err = s.read(text(second, third))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(third))

	for range 2 * shelfSize {
		next := dealt(2, 3, 7)
		next[0][1] = []int{len(s.keys)}
		s.put(next)
	}
	g.Expect(len(s.keys)).To(BeNumerically("<=", shelfSize))
	_, err = s.read(mapText{Base: 1, Experts: 1 << 30, Data: appendNumbers(nil, 1<<30, 1<<30)})
	g.Expect(err).To(MatchError(errNoBase), "a size that is no size")
}

func TestCountsAreReadAsTheyWereWritten(t *testing.T) {
	for _, tc := range []struct {
		name string
		most uint64
		n    int
	}{{"small", 255, 4128}, {"large", 100_000, 4128}, {"one block", 9, 256}, {"one more", 700, 257}, {"one", 1 << 40, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := rand.New(rand.NewPCG(1, 2))
			flat := make([]uint64, tc.n)
			for i := range flat {
				flat[i] = r.Uint64N(tc.most + 1)
			}
			raw, err := packCounts(flat)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(raw)).To(BeNumerically("<=", tc.n+10*(tc.n/countsBlock+2)))
			back, err := unpackCounts(raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(back).To(HaveLen(tc.n))
			for i, n := range flat {
				g.Expect(float64(back[i])).To(BeNumerically("~", n, float64(tc.most)/255/2+1))
				if tc.most <= 255 {
					g.Expect(back[i]).To(Equal(n))
				}
			}
		})
	}
}

func TestCountsThatAreNoneAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  []byte
	}{{"a scale only", []byte{1}}, {"a scale of 0", []byte{0, 1}}, {"no end of the scale", []byte{0xff}}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			packed, err := deflate(tc.raw)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = unpackCounts(packed)
			g.Expect(err).To(HaveOccurred())
		})
	}
	t.Run("no code", func(t *testing.T) {
		_, err := unpackCounts([]byte{1, 2, 3})
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("of different sizes", func(t *testing.T) {
		g := NewWithT(t)
		one, err := packCounts([]uint64{1})
		g.Expect(err).NotTo(HaveOccurred())
		two, err := packCounts([]uint64{1, 2})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = addCounts(one, two)
		g.Expect(err).To(HaveOccurred())
	})
}
