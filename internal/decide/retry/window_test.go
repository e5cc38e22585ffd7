// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWindowKeepsToItsShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := NewWindow(10*time.Second, 0.2, 1)
	take := func() (n int) {
		for range 100 {
			if w.Take(now) {
				n++
			}
		}
		return n
	}
	g.Expect(take()).To(Equal(1), "the spare")
	for range 50 {
		w.Request(now)
	}
	g.Expect(take()).To(Equal(10))
	now = now.Add(5 * time.Second)
	g.Expect(take()).To(BeZero(), "they still count")
	now = now.Add(6 * time.Second)
	g.Expect(take()).To(Equal(1), "requests and repeats are forgotten together")
}
