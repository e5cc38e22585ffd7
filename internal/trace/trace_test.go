// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package trace

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/golden"
)

func TestGolden(t *testing.T) {
	golden.Run(t, func(files map[string][]byte) string {
		tr, err := Read("in.csv", bytes.NewReader(files["in.csv"]))
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%d samples, %d layers, %d experts", len(tr), tr.Layers(), tr.Experts())
	})
}

func TestMadeTracesSurviveTheFile(t *testing.T) {
	for _, k := range []Kind{Daily, Shift, Spike, ZipfWalk, Adversarial} {
		t.Run(string(k), func(t *testing.T) {
			g := gomega.NewWithT(t)
			cfg := Config{Kind: k, Layers: 2, Experts: 8, Steps: 50, Seed: 3}
			a, err := Generate(cfg)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var buf bytes.Buffer
			g.Expect(a.Write(&buf)).To(gomega.Succeed())
			b, err := Read("made", &buf)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(b).To(gomega.Equal(a))
			again, _ := Generate(cfg)
			g.Expect(again).To(gomega.Equal(a), "a seed fixes the trace")
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("step,layer,expert,tokens\n0,0,0,1\n"))
	f.Add([]byte("step,layer,expert,tokens\n0,4095,4095,1\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tr, err := Read("fuzz", bytes.NewReader(raw))
		if err == nil && (len(tr) == 0 || tr.Layers() == 0 || tr.Experts() == 0) {
			t.Fatal("took an empty trace")
		}
	})
}
