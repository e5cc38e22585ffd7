// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

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
