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

// An engine whose sidecar has died still answers direct polls, which are rare. Between two of them
// the rank must not count as absent, or the leader would create a new cutover machine at each poll.
func TestRankIsAbsentOnlyIfSidecarAndEngineAreSilent(t *testing.T) {
	ours, theirs := rank.Report{Group: "g"}, rank.Report{Group: "other"}
	for _, tc := range []struct {
		name   string
		silent member
		want   bool
	}{
		{"its sidecar has died", member{report: ours}, false},
		{"its instance is frozen", member{report: ours, engineSilent: true}, true},
		{"frozen, and never reported before", member{engineSilent: true}, true},
		{"engine not polled directly yet", member{}, false},
		{"of another group", member{report: theirs}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &leader{members: []*member{{report: ours, answered: true}, &tc.silent}}
			NewWithT(t).Expect(l.silentEnginesUnreachable(ours)).To(Equal(tc.want))
		})
	}
}

// A new leader must not relay queries through the former leader if that one is silent.
func TestSilentFormerLeaderIsNotUsedAsRelay(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name          string
		lastAnnounced time.Time // When the leader's last announcement arrived.
		seen          time.Time // When its rank last answered a poll.
		want          bool
	}{
		{"it became silent", now.Add(-2 * leadTimeout), time.Time{}, true},
		{"it leads", now, time.Time{}, false},
		{"it answered since", now.Add(-2 * leadTimeout), now, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &Sidecar{lead: leadership{announcedAt: tc.lastAnnounced, from: netip.MustParseAddr("10.0.0.1")}}
			led := &member{endpoint: fleet.Endpoint{Address: "10.0.0.1:80"}, lastSeen: tc.seen}
			other := &member{endpoint: fleet.Endpoint{Address: "10.0.0.2:80"}}
			l := &leader{s: s, members: []*member{led, other}}
			l.markSilentLeader(now)
			g.Expect(led.sidecarSilent).To(Equal(tc.want))
			g.Expect(other.sidecarSilent).To(BeFalse())
		})
	}
}

// A rank whose sidecar is silent is polled through its sidecar and its engine at the same time.
func TestSilentSidecarAndEngineArePolledConcurrently(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		sidecar, engine        bool
		answered, engineSilent bool
	}{
		{"both answer", true, true, true, false},
		{"the sidecar has died", false, true, true, false},
		{"the instance is frozen", false, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			silent := errors.New("no answer")
			s := &Sidecar{log: zap.NewNop()}
			s.querySidecar = func(context.Context, treeQuery) (treeResponse, error) {
				if !tc.sidecar {
					return treeResponse{}, silent
				}
				return treeResponse{Ranks: []rankResponse{{Report: &rank.Report{Group: "g"}}}}, nil
			}
			s.dial = func(string) rank.Engine {
				return rank.Engine{Report: func(context.Context) (rank.Report, error) {
					if !tc.engine {
						return rank.Report{}, silent
					}
					return rank.Report{Group: "g"}, nil
				}}
			}
			m := &member{sidecarSilent: true}
			(&leader{s: s}).pollSilent(context.Background(), m)
			g.Expect(m.answered).To(Equal(tc.answered))
			g.Expect(m.engineSilent).To(Equal(tc.engineSilent))
			g.Expect(m.sidecarSilent).To(Equal(!tc.sidecar))
		})
	}
}
