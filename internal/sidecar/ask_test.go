// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package sidecar

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/rank"
)

// A rank whose sidecar alone has died still answers past it, now and then: it is
// not absent in between, or the group's leader would begin anew at each look.
func TestOnlyWhoDoesNotAnswerAtAllIsAbsent(t *testing.T) {
	ours, theirs := rank.Report{Group: "g"}, rank.Report{Group: "other"}
	for _, tc := range []struct {
		name   string
		silent member
		want   bool
	}{
		{"its sidecar has died", member{report: ours}, false},
		{"its instance is frozen", member{report: ours, lost: true}, true},
		{"frozen, and never heard before", member{lost: true}, true},
		{"not asked past its sidecar yet", member{}, false},
		{"of another group", member{report: theirs}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &leader{all: []*member{{report: ours, fresh: true}, &tc.silent}}
			NewWithT(t).Expect(l.engineLost(ours)).To(Equal(tc.want))
		})
	}
}

// Who leads after a leader that fell silent does not ask others through it.
func TestTheLeaderThatFellSilentIsPassedOver(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		heard time.Time // When the leader was last heard.
		seen  time.Time // When its rank last answered.
		want  bool
	}{
		{"it fell silent", now.Add(-2 * leadLapse), time.Time{}, true},
		{"it leads", now, time.Time{}, false},
		{"it answered since", now.Add(-2 * leadLapse), now, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &Sidecar{lead: leadership{at: tc.heard, from: netip.MustParseAddr("10.0.0.1")}}
			led := &member{endpoint: fleet.Endpoint{Address: "10.0.0.1:80"}, seen: tc.seen}
			other := &member{endpoint: fleet.Endpoint{Address: "10.0.0.2:80"}}
			l := &leader{s: s, all: []*member{led, other}}
			l.passOver(now)
			g.Expect(led.missed).To(Equal(tc.want))
			g.Expect(other.missed).To(BeFalse())
		})
	}
}

// A rank whose sidecar is silent is asked past it at the same time.
func TestASilentRankAndItsEngineAreAskedTogether(t *testing.T) {
	for _, tc := range []struct {
		name            string
		sidecar, engine bool
		fresh, lost     bool
	}{
		{"both answer", true, true, true, false},
		{"the sidecar has died", false, true, true, false},
		{"the instance is frozen", false, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			silent := errors.New("no answer")
			s := &Sidecar{log: zap.NewNop()}
			s.below = func(context.Context, question) (answers, error) {
				if !tc.sidecar {
					return answers{}, silent
				}
				return answers{Ranks: []answered{{Report: &rank.Report{Group: "g"}}}}, nil
			}
			s.dial = func(string) rank.Engine {
				return rank.Engine{Report: func(context.Context) (rank.Report, error) {
					if !tc.engine {
						return rank.Report{}, silent
					}
					return rank.Report{Group: "g"}, nil
				}}
			}
			m := &member{missed: true}
			(&leader{s: s}).askSilent(context.Background(), m)
			g.Expect(m.fresh).To(Equal(tc.fresh))
			g.Expect(m.lost).To(Equal(tc.lost))
			g.Expect(m.missed).To(Equal(!tc.sidecar))
		})
	}
}
