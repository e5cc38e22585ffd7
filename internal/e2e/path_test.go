// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package e2e holds the tests that run the system as separate processes and
// kill, freeze and replace them. It has no code of its own.
package e2e

import (
	"net/http"
	"os/exec"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

var _ = Describe("the whole path", func() {
	It("serves a stream, a whole answer, a service call and a keyed payment", func() {
		s := startSite(example.Archive, example.Small)
		entry := s.Entries[0]

		whole := s.mustAsk(entry, http.MethodPost, "/v1/chat/completions",
			`{"model":"plates","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`, nil)
		Expect(whole.outcome).To(Equal(wire.Done))
		Expect(whole.body).To(ContainSubstring(standin.Answer("user: hello\n", 5)))

		key := s.mint(entry)
		first, err := s.pay(entry, key, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.outcome).To(Equal(wire.Done))
		again, err := s.pay(entry, key, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.body).To(Equal(first.body), "a repeated key gets the answer of the first run")
		Expect(s.runs()["one"]).To(Equal(1))

		out, err := exec.Command(toolPath, "load", "--target", entry.Callers, "--key", s.Customers[0].Key,
			"--control", s.Control, "--rate", "50", "--duration", "1s", "--tokens", "10").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("sent 50  whole 50 "))
	})
})
