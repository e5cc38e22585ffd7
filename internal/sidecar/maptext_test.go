// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
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
	t.Run("cut anywhere", func(t *testing.T) {
		g := NewWithT(t)
		for n := range len(text) {
			_, err := unpackMap(text[:n])
			g.Expect(err).To(HaveOccurred(), "%d bytes", n)
		}
	})
	t.Run("too long", func(t *testing.T) {
		g := NewWithT(t)
		_, err := unpackMap(append(append([]byte(nil), text...), 0))
		g.Expect(err).To(HaveOccurred())
	})
	t.Run("a size that is no size", func(t *testing.T) {
		g := NewWithT(t)
		_, err := unpackMap([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0xff, 0xff, 0xff, 0xff, 0x0f})
		g.Expect(err).To(HaveOccurred())
	})
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
		return mapText{Base: fingerprint(from), Experts: 7, Text: packChange(from, to)}
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
	_, err = s.read(mapText{Base: 1, Experts: 1 << 30, Text: appendNumbers(nil, 1<<30, 1<<30)})
	g.Expect(err).To(MatchError(errNoBase), "a size that is no size")
}
