// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against broken answers that reach callers as whole: those that are reset while a long upload is still
// written, and those whose head is not of the protocol.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		how   int // Variant of the broken answers.
		edits []edit
		want  string // Regular expression that matches a violation; "" for none.
	}{
		{name: "as it is", how: breaksAll},
		{"a reset counts as an orderly end", resetsDuringUploads, []edit{{"../upstream/ended.go", "info.State != unix.BPF_TCP_CLOSE_WAIT", "info.State == 0"}},
			`a success with a wrong body|a stream that ended as whole`},
		{"names of fields are not checked", breaksHeads, []edit{{"../httphead/httphead.go", "!httpguts.ValidHeaderFieldName(name)", "!httpguts.ValidHeaderFieldName(name) && false"}},
			`malformed head|a success with a wrong body`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			cfg := shortConfig(t, 7401, AllKinds, manyCallers, build(t, tc.edits...))
			cfg.Schedule = []fault{{at: firstFault, kind: breakAnswers, target: tc.how, variant: maxFailPercent - minFailPercent - 1, duration: 6 * time.Second}}
			cfg.UploadInterval = 8
			r, err := Run(context.Background(), cfg)
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%d requests served, %d promises broken", r.Served, len(r.Violations))
			if tc.want == "" {
				g.Expect(r.Violations).To(BeEmpty(), "%s", strings.Join(r.Evidence, "\n"))
			} else {
				g.Expect(strings.Join(r.Violations, "\n")).To(MatchRegexp(tc.want))
			}
		})
	}
}
