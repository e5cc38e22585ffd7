// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package demo

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/load"
)

func TestEachPromiseThatDidNotHoldIsListed(t *testing.T) {
	for name, r := range map[string]Report{
		"short answer framed or called whole": {Result: load.Result{Wrong: 1}},
		"no outcome":                          {Result: load.Result{NoOutcome: 1}},
		"lost":                                {Verdict: load.PaymentErrors{Lost: 1}},
		"doubled":                             {Verdict: load.PaymentErrors{Doubled: 1}},
		"false not run":                       {Verdict: load.PaymentErrors{FalseNotRun: 1}},
		"older generation":                    {UpToDate: 1, Running: 2},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(r.Violations()).To(HaveLen(1))
		})
	}
	t.Run("all held", func(t *testing.T) {
		NewWithT(t).Expect(Report{Result: load.Result{Sent: 3, Complete: 1, NotRun: 1, Unknown: 1}}.Violations()).To(BeEmpty())
	})
}
