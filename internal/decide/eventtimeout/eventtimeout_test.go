// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package eventtimeout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestHowLongAnAnswerMayBeSilent(t *testing.T) {
	for _, tc := range []struct {
		name          string
		a             Answer
		first, midway time.Duration
	}{
		{"no times known", Answer{Target: 500 * ms, CallerTimeout: 2000 * ms}, 400 * ms, 500 * ms},
		{"a fast group", Answer{Target: 500 * ms, CallerTimeout: 2000 * ms, FirstEvent: 200 * ms, PassTime: 40 * ms}, 400 * ms, 500 * ms},
		{"a busy group is not silent", Answer{Target: 500 * ms, CallerTimeout: 2000 * ms, FirstEvent: 600 * ms, PassTime: 100 * ms}, 900 * ms, 800 * ms},
		{"callers time out before a very slow answer", Answer{Target: 500 * ms, CallerTimeout: 2000 * ms, FirstEvent: 3000 * ms, PassTime: 400 * ms}, 1100 * ms, 1100 * ms},
		{"callers without a timeout", Answer{Target: 150 * ms, FirstEvent: 200 * ms}, 300 * ms, 150 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.a.BeforeFirst()).To(BeNumerically("~", tc.first, ms))
			g.Expect(tc.a.MidStream()).To(BeNumerically("~", tc.midway, ms))
		})
	}
}
