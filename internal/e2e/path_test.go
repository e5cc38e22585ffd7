// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package e2e holds tests that run the system as separate processes and kill, freeze and replace
// them. It has no code other than tests.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

var _ = Describe("the whole path", func() {
	It("serves a complete answer, a payment with a key, and a load of streams and service calls", func() {
		s := startSite(example.Archive, example.MinimalSize)
		entry := s.Entries[0]

		whole, err := s.chat(entry, "hello", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.outcome).To(Equal(wire.Done))
		Expect(whole.body).To(ContainSubstring(standin.Answer("user: hello\n", 5)))

		key := s.createKey(entry)
		first, err := s.pay(entry, key, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.outcome).To(Equal(wire.Done))
		again, err := s.pay(entry, key, "one")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.body).To(Equal(first.body), "a repeated key gets the answer of the first run")
		Expect(s.runs()["one"]).To(Equal(1))

		out, err := exec.Command(toolPath, "load", "--target", entry.CallerAddress, "--key", s.Customers[0].Key,
			"--control", s.ControlAddress, "--rate", "50", "--duration", "1s", "--tokens", "10").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("sent 50  whole 50 "))
	})
})

var _ = Describe("the tool", func() {
	It("runs the demonstration without a broken promise", func() {
		out, err := exec.Command(toolPath, "demo", "--duration", "8s", "--rate", "40").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("every promise held"))
	})

	It("reports every error in its input and exits with 2", func() {
		check := func(want string, args ...string) {
			out, err := exec.Command(toolPath, args...).CombinedOutput()
			var exit *exec.ExitError
			Expect(errors.As(err, &exit)).To(BeTrue(), string(out))
			Expect(exit.ExitCode()).To(Equal(2), string(out))
			Expect(string(out)).To(ContainSubstring(want))
		}
		dir := GinkgoT().TempDir()
		write := func(name, text string) string {
			path := filepath.Join(dir, name)
			Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			return path
		}
		write("bad/policy/p.ini", "[policy]\npriority = class\n")
		check("policy/p.ini:2: [policy] priority", "check", filepath.Join(dir, "bad"))
		check("trace.csv:2: tokens", "experiment", "rebalance", "--ranks", "4", "--slots", "20",
			"--trace", write("trace.csv", "step,layer,expert,tokens\n0,0,0,many\n"))
		check("--ranks must be at least 2", "experiment", "rebalance", "--ranks", "1", "--slots", "0",
			"--trace", write("good.csv", "step,layer,expert,tokens\n0,0,0,1\n"))
		check("not a base64 Ed25519 seed", "pack", "--generation", "1", "--key", write("k", "x"), "--out", filepath.Join(dir, "o"), write("empty/x", ""))
		check("site.ini:2: [site] entries", "capacity", "--site", write("site.ini", "[site]\nentries = none\n"))
		check("unknown flag", "load", "--colour")
	})
})
