// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWorstSpan(t *testing.T) {
	bound := Bound{Share: 0.5, Slack: 1, Window: 10 * time.Second}
	at := func(seconds ...float64) (list []time.Time) {
		for _, s := range seconds {
			list = append(list, time.Unix(1000, 0).Add(time.Duration(s*float64(time.Second))))
		}
		return list
	}
	for _, tc := range []struct {
		name              string
		requests, retries []time.Time
		want              Span
	}{
		{"no retries", at(1, 2), nil, Span{}},
		{"requests of the span", at(21, 22), at(20, 30), Span{Retries: 2, Requests: 2, Allowed: 2}},
		{"requests of the span before", at(11, 12), at(20, 21), Span{Retries: 2, Requests: 2, Allowed: 2}},
		{"requests around the start of the span", at(18, 22), at(20, 21), Span{Retries: 2, Requests: 2, Allowed: 2}},
		{"requests of both sides do not add up", at(11, 29), at(20, 21), Span{Retries: 2, Requests: 1, Allowed: 1.5}},
		{"retries just outside of a span", nil, at(20, 30.01), Span{Retries: 1, Allowed: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := bound.Worst(tc.requests, tc.retries)
			got.From = time.Time{}
			NewWithT(t).Expect(got).To(Equal(tc.want))
		})
	}
}
