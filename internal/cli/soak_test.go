// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// A soak without the daemon's program panicked.
func TestSoakNamesAMissingDaemon(t *testing.T) {
	dir := t.TempDir()
	text := filepath.Join(dir, "text")
	if err := os.WriteFile(text, []byte("no program"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, daemon := range map[string]string{"missing": filepath.Join(dir, "none"), "not executable": text} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errOut bytes.Buffer
			logs := t.TempDir()
			g.Expect(Main([]string{"soak", "--daemon", daemon, "--dir", logs}, &out, &errOut)).To(Equal(exitFailed))
			g.Expect(errOut.String()).To(And(ContainSubstring(daemon), ContainSubstring("go build")))
			left, err := os.ReadDir(logs)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(left).To(BeEmpty(), "nothing was begun")
		})
	}
}
