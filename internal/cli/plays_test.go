// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	playsHeader = "day   own/srv  score  worth\n"
	calmDayRow  = "calm --seed 7   3/2   1.00  0.9\n"
)

// Guards against a search for failures that passes although attempts were cut, or although reports could
// not be read.
func TestPlaysFailsOnCutAttemptsOrBrokenRules(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		code int
		want string
	}{
		"clean":         {playsHeader + calmDayRow + "how tries ended: 200: 3; 502: 1\n", exitOK, "f.log:2: calm --seed 7: 1 times an own 5xx other than 503\n"},
		"cut":           {playsHeader + calmDayRow + "how tries ended: 200: 3; cut, no answer: 2\n", exitFailed, "f.log:2: calm --seed 7: 2 cut before an answer\n"},
		"cut in a kill": {playsHeader + calmDayRow + "how tries ended: 200: 3; cut, no answer: 2\n   1.0 s to   2.0 s  node_kill g\n", exitOK, "2 cut before an answer (to be told from those of node_kill)\n"},
		"a rule broken": {playsHeader + "calm --seed 7   3/2   1.00  0.9  BROKEN: LOST 4 (else 0.51)\n", exitFailed, "rules broken: LOST 4\n"},
		"no outcomes":   {playsHeader + calmDayRow, exitOK, "days of which no report tells how tries ended (--unread lists them): 1\n"},
		"not a report":  {"nothing\n", exitUsage, "f.log:1: no play in it\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			file := filepath.Join(t.TempDir(), "f.log")
			g.Expect(os.WriteFile(file, []byte(tc.text), 0o600)).To(Succeed())
			var out bytes.Buffer
			g.Expect(Main([]string{"plays", "--journal", t.TempDir(), file}, &out, &out)).To(Equal(tc.code))
			g.Expect(out.String()).To(ContainSubstring(tc.want))
		})
	}
	t.Run("days without outcomes", func(t *testing.T) {
		var out bytes.Buffer
		v := &playsCommand{app: &app{out: &out}, in: strings.NewReader(playsHeader + calmDayRow + "storm 3/2 0.0\nhow tries ended: 200: 1\n"), Unread: true}
		v.Args.Files = []string{"-"}
		NewWithT(t).Expect(v.Execute(nil)).To(Succeed())
		NewWithT(t).Expect(out.String()).To(Equal("calm --seed 7\n"))
	})
}
