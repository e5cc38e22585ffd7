// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package estimate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTimesThatVaryAreGivenMore(t *testing.T) {
	for _, tc := range []struct {
		name       string
		times      []time.Duration
		mean, most time.Duration
	}{
		{"nothing known", nil, 0, 0},
		{"one", []time.Duration{40}, 40, 40},
		{"all alike", []time.Duration{40, 40, 40}, 40, 40},
		{"one takes longer", []time.Duration{40, 140}, 90, 190},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			e := New(0.5)
			for _, d := range tc.times {
				e.Add(d * time.Millisecond)
			}
			g.Expect(e.Known()).To(Equal(len(tc.times) > 0))
			g.Expect(e.Mean()).To(Equal(tc.mean * time.Millisecond))
			g.Expect(e.UpperBound()).To(Equal(tc.most * time.Millisecond))
		})
	}
}
