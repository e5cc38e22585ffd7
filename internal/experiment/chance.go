// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
)

// poisson draws from the Poisson distribution with the given mean.
func poisson(rnd *rand.Rand, expected float64) (n int) {
	limit := math.Exp(-expected)
	for p := rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}

func sortStrings(list []string) { sort.Strings(list) }
