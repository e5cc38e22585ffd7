// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func TestEncodedMapRoundTrip(t *testing.T) {
	m := layout{{{0, 2, 300}, {}, {1}}, {{5}, {0, 1}, {299, 300}}}
	text := encodeMap(m)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := decodeMap(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(m))
	})
	bad := map[string][]byte{
		"too long":        append(append([]byte(nil), text...), 0),
		"an invalid size": {0xff, 0xff, 0xff, 0xff, 0x0f, 0xff, 0xff, 0xff, 0xff, 0x0f},
	}
	for n := range len(text) {
		bad[fmt.Sprint("cut at ", n)] = text[:n]
	}
	for name, raw := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := decodeMap(raw)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestDeltaRoundTrip(t *testing.T) {
	from := layout{{{0, 2}, {}, {1}}, {{5}, {0, 1}, {2, 300}}}
	to := layout{{{0, 2}, {2}, {1}}, {{5}, {0, 7}, {}}}
	raw := encodeDelta(from, to)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := decodeDelta(from, raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(to))
		g.Expect(from[0][1]).To(BeEmpty(), "the base map is not modified")
	})
	t.Run("for a map of another size", func(t *testing.T) {
		_, err := decodeDelta(from[:1], raw)
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("a row out of range", func(t *testing.T) {
		_, err := decodeDelta(from, appendRow(appendUvarints(nil, 2, 3, 6), nil))
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("nothing", func(t *testing.T) {
		g := NewWithT(t)
		back, err := decodeDelta(from, encodeDelta(from, from))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(from))
	})
}

func TestDeltaOfCachedMapIsDecoded(t *testing.T) {
	g := NewWithT(t)
	var s mapCache
	first := roundRobinLayout(2, 3, 7)
	second := roundRobinLayout(2, 3, 7)
	second[1][2] = []int{0, 2}
	text := func(from, to layout) encodedMap {
		return encodedMap{Base: fingerprint(from), Experts: 7, Data: encodeDelta(from, to)}
	}
	read, err := s.decode(text(first, second))
	g.Expect(err).NotTo(HaveOccurred(), "the round-robin base is derived")
	g.Expect(read).To(Equal(second))

	third := roundRobinLayout(2, 3, 7)
	third[0][0] = []int{6}
	_, err = (&mapCache{}).decode(text(second, third))
	g.Expect(err).To(MatchError(errUnknownBase), "a sidecar with an empty cache")
	read, err = s.decode(text(second, third))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(third))

	for range 2 * mapCacheSize {
		next := roundRobinLayout(2, 3, 7)
		next[0][1] = []int{len(s.keys)}
		s.put(next)
	}
	g.Expect(len(s.keys)).To(BeNumerically("<=", mapCacheSize))
	_, err = s.decode(encodedMap{Base: 1, Experts: 1 << 30, Data: appendUvarints(nil, 1<<30, 1<<30)})
	g.Expect(err).To(MatchError(errUnknownBase), "an invalid size")
}

func TestEncodedCountsRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name string
		most uint64
		n    int
	}{{"small", 255, 4128}, {"large", 100_000, 4128}, {"one block", 9, 256}, {"one block and one count", 700, 257}, {"one", 1 << 40, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			r := rand.New(rand.NewPCG(1, 2))
			flat := make([]uint64, tc.n)
			for i := range flat {
				flat[i] = r.Uint64N(tc.most + 1)
			}
			raw, err := encodeCounts(flat)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(raw)).To(BeNumerically("<=", tc.n+10*(tc.n/countsBlockSize+2)))
			back, err := decodeCounts(raw)
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

func TestInvalidCountsAreRejected(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  []byte
	}{{"a scale without counts", []byte{1}}, {"a scale of 0", []byte{0, 1}}, {"an unterminated scale", []byte{0xff}}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			packed, err := deflate(tc.raw)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = decodeCounts(packed)
			g.Expect(err).To(HaveOccurred())
		})
	}
	t.Run("invalid compression", func(t *testing.T) {
		_, err := decodeCounts([]byte{1, 2, 3})
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
	t.Run("of different sizes", func(t *testing.T) {
		g := NewWithT(t)
		one, err := encodeCounts([]uint64{1})
		g.Expect(err).NotTo(HaveOccurred())
		two, err := encodeCounts([]uint64{1, 2})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = addCounts(one, two)
		g.Expect(err).To(HaveOccurred())
	})
}
