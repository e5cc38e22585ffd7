// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// The pattern of KNOWN-RED.txt matched no subtest, so that a listed one still failed CI.
func TestKnownRedPatternSkipsExactlyTheListedTests(t *testing.T) {
	const (
		list = `TestPlain: seed 1, failed
TestParent/one_(two)|three: seed 2, failed
TestParent/deep/leaf: failed

review/2/run.sh: not a Go test
`
		source = `package p
import "testing"
func TestPlain(*testing.T) {}
func TestPlainAndMore(*testing.T) {}
func TestParent(t *testing.T) {
	run := func(string) func(*testing.T) { return func(*testing.T) {} }
	t.Run("one (two)|three", run(""))
	t.Run("one (two)|three and more", run(""))
	t.Run("one", run(""))
	t.Run("deep", func(t *testing.T) { t.Run("leaf", run("")); t.Run("leaves", run("")) })
}
`
	)
	g := NewWithT(t)
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module p\n", "p_test.go": source, "known-red": list} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
	}
	script, err := filepath.Abs("../../.ci/skip-pattern")
	g.Expect(err).NotTo(HaveOccurred())
	pattern, err := exec.Command("bash", script, filepath.Join(dir, "known-red")).Output()
	g.Expect(err).NotTo(HaveOccurred())
	test := exec.Command("go", "test", "-v", "-skip", strings.TrimSpace(string(pattern)), ".")
	test.Dir = dir
	out, err := test.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	var ran []string
	for _, m := range regexp.MustCompile(`(?m)^\s*--- PASS: (\S+)`).FindAllStringSubmatch(string(out), -1) {
		ran = append(ran, m[1])
	}
	g.Expect(ran).To(ConsistOf("TestPlainAndMore", "TestParent", "TestParent/one", "TestParent/one_(two)|three_and_more", "TestParent/deep", "TestParent/deep/leaves"))
}
