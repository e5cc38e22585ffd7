// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package duty

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against faults of one duty that end the process under all requests.
func TestAFaultOfADutyEndsNoOther(t *testing.T) {
	errGone := errors.New("gone")
	for _, tc := range []struct {
		name   string
		once   bool
		run    func(n int) error // The run of this number.
		runs   int
		panics int
		failed bool
	}{
		{"a panic", false, func(n int) error {
			if n == 0 {
				panic("a fault")
			}
			return nil
		}, 2, 1, false},
		{"a panic of one that cannot begin again", true, func(int) error { panic("a fault") }, 1, 1, true},
		{"an error", false, func(int) error { return errGone }, 1, 0, true},
		{"its end", false, func(int) error { return nil }, 1, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			core, lines := observer.New(zap.InfoLevel)
			reg := metrics.NewRegistry()
			ctx, cancel := context.WithCancel(context.Background())
			failed := make(chan string, 1)
			d := New(ctx, zap.New(core), reg, func(name string) { failed <- name })
			d.Go("other", func(ctx context.Context) error { <-ctx.Done(); return nil })
			runs, ended := 0, make(chan struct{})
			run := func(context.Context) error {
				runs++
				if runs == tc.runs {
					defer close(ended)
				}
				return tc.run(runs - 1)
			}
			if tc.once {
				d.GoOnce("one", run)
			} else {
				d.Go("one", run)
			}
			<-ended
			if tc.failed {
				g.Expect(<-failed).To(Equal("one"))
				g.Expect(lines.FilterMessage("duty ended").Len()).To(Equal(1))
			}
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
			cancel()
			g.Expect(d.Wait() != nil).To(Equal(tc.failed))
			g.Expect(runs).To(Equal(tc.runs))
			g.Expect(lines.FilterMessage("panic").Len()).To(Equal(tc.panics))
			g.Expect(metrics.GetOrRegisterCounter("process.panics.one", reg).Count()).To(BeEquivalentTo(tc.panics))
		})
	}
}

func TestADutyThatPanicsAtEachRunFails(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // It runs again without a pause.
	runs := 0
	d := New(ctx, zap.NewNop(), metrics.NewRegistry(), func(string) {})
	d.Go("one", func(context.Context) error { runs++; panic("a fault") })
	g.Expect(d.Wait()).To(HaveOccurred())
	g.Expect(runs).To(Equal(mostPanics))
}
