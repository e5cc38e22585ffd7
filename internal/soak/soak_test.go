// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// build compiles the daemon, with a file replaced by another text, if any.
func build(t *testing.T, file, text string) string {
	g := NewWithT(t)
	dir := t.TempDir()
	args := []string{"build", "-o", filepath.Join(dir, "canvaspulleyd")}
	if file != "" {
		changed := filepath.Join(dir, "changed.go")
		g.Expect(os.WriteFile(changed, []byte(text), fileMode)).To(Succeed())
		overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, fileMode)).To(Succeed())
		args = append(args, "-overlay", filepath.Join(dir, "overlay.json"))
	}
	out, err := exec.Command("go", append(args, "../../cmd/canvaspulleyd")...).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), "%s", out)
	return filepath.Join(dir, "canvaspulleyd")
}

// short is a run for CI: no bound in time is checked, since the machine may be
// busy.
func short(t *testing.T, seed uint64, daemon string) Config {
	cfg := Usual(seed)
	cfg.Length, cfg.Daemon, cfg.Dir, cfg.Timed, cfg.Log = 16*time.Second, daemon, t.TempDir(), false, t.Output()
	return cfg
}

// regressions are the seeds that found a fault in the product or in the soak,
// each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{246, "a second SIGTERM in a planned stop ended the process at once and cut requests off"},
	{121, "the soak judged runs by a move of the route that had not come yet"},
}

func TestShortSoak(t *testing.T) {
	daemon := build(t, "", "")
	for _, tc := range regressions {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r, err := Run(context.Background(), short(t, tc.seed, daemon))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Broken).To(BeEmpty())
			g.Expect(r.Served).To(BeNumerically(">", 0))
		})
	}
}

// TestTheSoakFindsFaults seeds faults into the product and shows that each is
// found.
func TestTheSoakFindsFaults(t *testing.T) {
	for _, tc := range []struct {
		name, file, from, to string
		finds                string
		seed                 uint64 // One whose trouble brings the fault out.
	}{
		{
			name: "a request that may have run is sent again", file: "../gateway/run.go",
			from: "if !q.mayGoOn() {\n\t\t\t\tq.giveUp(last, false)\n\t\t\t\treturn\n\t\t\t}", to: "",
			finds: "may run once, ran at", seed: 24,
		},
		{
			name: "an older configuration stays in force", file: "../follow/view.go",
			from: "if c == nil || s.Config != nil && c.Version() <= s.Config.Version() {", to: "if c == nil || s.Config != nil {",
			finds: "after its key was taken away", seed: 1,
		},
		{
			name: "a stream that was cut off ends as a whole one", file: "../gateway/stream.go",
			from: "return q.brokenStream(e, err)", to: "return q.endStream(e, x, resp)",
			finds: "a stream that ended as whole", seed: 13,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			file, err := filepath.Abs(tc.file)
			g.Expect(err).NotTo(HaveOccurred())
			raw, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(raw)).To(ContainSubstring(tc.from))
			cfg := short(t, tc.seed, build(t, file, strings.Replace(string(raw), tc.from, tc.to, 1)))
			cfg.Timed = true
			r, err := Run(context.Background(), cfg)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(strings.Join(r.Broken, "\n")).To(ContainSubstring(tc.finds))
		})
	}
}

func TestSchedulesFollowFromTheirSeed(t *testing.T) {
	g := NewWithT(t)
	a, b := schedule(7, time.Minute), schedule(7, time.Minute)
	g.Expect(a).To(Equal(b))
	g.Expect(a).NotTo(Equal(schedule(8, time.Minute)))
	kinds := map[faultKind]bool{}
	for _, f := range a {
		kinds[f.kind] = true
		g.Expect(f.at).To(BeNumerically("<", time.Minute-calmTail))
	}
	g.Expect(len(kinds)).To(BeNumerically(">=", int(faultKinds)*3/4))
}

func TestSizesAreChecked(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Usual(1).Check()).To(Succeed())
	faulty := Usual(1)
	faulty.Gateways, faulty.Ranks, faulty.Length = 0, 500, time.Second
	err := faulty.Check()
	g.Expect(err).To(MatchError(ContainSubstring("0 gateways")))
	g.Expect(err).To(MatchError(ContainSubstring("500 ranks")))
	g.Expect(err).To(MatchError(ContainSubstring("length 1s")))
}
