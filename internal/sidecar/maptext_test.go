// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestMapsAreWrittenAndReadWhole(t *testing.T) {
	layout := [][][]int{{{0, 2, 300}, {}, {1}}, {{5}, {0, 1}, {299, 300}}}
	text := packMap(layout)
	t.Run("whole", func(t *testing.T) {
		g := NewWithT(t)
		back, err := unpackMap(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back).To(Equal(layout))
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
