// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func version(n uint64) *fleet.Config {
	return fleet.NewConfig(n, nil, nil, nil, fleet.Limits{})
}

func endpoint(id string, revision uint64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: id, Revision: revision, CreatedRevision: revision}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	v.Replace(Snapshot{Config: version(5), UpTo: 10}, at(0), false)
	v.Replace(Snapshot{Config: version(4), UpTo: 9}, at(time.Second), false)
	g.Expect(v.State().Config.Version()).To(Equal(uint64(5)))
	g.Expect(v.Age(at(time.Second))).To(Equal(time.Second), "an old answer does not confirm the view")
	g.Expect(v.Offer(version(5), 10)).To(BeFalse())
	g.Expect(v.Offer(version(7), 12)).To(BeTrue())
	v.Apply(Changes{Config: version(6), UpTo: 11}, at(2*time.Second), false)
	g.Expect(v.State().Config.Version()).To(Equal(uint64(7)))
}

func TestAgeCountsFromTheStartOfTheCall(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	g.Expect(v.Age(at(0))).To(BeNumerically(">", time.Hour), "the view is empty")
	v.Replace(Snapshot{Config: version(1), UpTo: 1}, at(0), false)
	v.Apply(Changes{UpTo: 1}, at(time.Second), false)
	g.Expect(v.Age(at(3 * time.Second))).To(Equal(2 * time.Second))
	v.Confirm(2, at(2*time.Second))
	g.Expect(v.Age(at(3*time.Second))).To(Equal(2*time.Second), "another version was confirmed")
	v.Confirm(1, at(2*time.Second))
	g.Expect(v.Age(at(3 * time.Second))).To(Equal(time.Second))
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	leaving := endpoint("a", 2)
	leaving.Leaving = true
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{leaving}, UpTo: 2}, at(0), false)
	v.ApplyUpdate(Update{Endpoints: []fleet.Endpoint{endpoint("a", 1)}, UpTo: 1}, at(1))
	g.Expect(v.State().Endpoints["a"].Leaving).To(BeTrue())
	v.Apply(Changes{Endpoints: []fleet.Endpoint{endpoint("a", 3)}, UpTo: 3}, at(1), false)
	g.Expect(v.State().Endpoints["a"].Leaving).To(BeTrue())
}

func TestLateEntriesDoNotRestoreRemovedEndpoints(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{endpoint("a", 1)}, UpTo: 1}, at(0), false)
	g.Expect(v.Apply(Changes{Removals: []Removal{{Name: "a", Revision: 5}}, UpTo: 5}, at(1), false)).To(Equal([]string{"a"}))
	v.ApplyUpdate(Update{Endpoints: []fleet.Endpoint{endpoint("a", 4)}, UpTo: 4}, at(1))
	g.Expect(v.State().Endpoints).To(BeEmpty())
}

// After an outage a missing entry may only have expired; it is kept for a while and dropped when it
// is not written again.
func TestExpiredEntriesAreKeptAndThenDropped(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	both := []fleet.Endpoint{endpoint("a", 1), endpoint("b", 1)}
	v.Replace(Snapshot{Config: version(1), Endpoints: both, UpTo: 1}, at(0), false)
	v.Replace(Snapshot{Config: version(1), UpTo: 9}, at(time.Second), true)
	g.Expect(v.State().Endpoints).To(HaveLen(2))
	g.Expect(v.State().Missing).To(HaveLen(2))
	v.Apply(Changes{Endpoints: []fleet.Endpoint{endpoint("a", 10)}, UpTo: 10}, at(2*time.Second), true)
	g.Expect(v.State().Missing).To(HaveLen(1))
	g.Expect(v.DropMissing(at(1500 * time.Millisecond))).To(Equal([]string{"b"}))
	g.Expect(v.State().Endpoints).To(HaveKey("a"))
}

func TestTheNewerIncarnationAtAnAddressIsUsed(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	old, young := endpoint("old", 9), endpoint("young", 8)
	old.CreatedRevision, young.CreatedRevision = 3, 8 // The older incarnation's entry was renewed last.
	young.Address = old.Address
	v.Replace(Snapshot{Config: version(1), Endpoints: []fleet.Endpoint{old, young}, UpTo: 9}, at(0), false)
	g.Expect(v.State().ByService["s"]).To(ConsistOf(young))
}

// scriptedSource is a source that returns a list of errors in order.
type scriptedSource struct {
	snapshots []error
	changes   []error
	calls     []string
}

func (s *scriptedSource) asSource() Source {
	next := func(list *[]error) error {
		if len(*list) == 0 {
			return nil
		}
		err := (*list)[0]
		*list = (*list)[1:]
		return err
	}
	return Source{
		Snapshot: func(context.Context, bool) (Snapshot, error) {
			s.calls = append(s.calls, "snapshot")
			return Snapshot{Config: version(1), UpTo: 7}, next(&s.snapshots)
		},
		Changes: func(_ context.Context, after uint64, _ time.Duration) (Changes, error) {
			s.calls = append(s.calls, "changes")
			return Changes{UpTo: after + 1}, next(&s.changes)
		},
	}
}

func TestFollowerReadsASnapshotAgainWhenHistoryIsCompacted(t *testing.T) {
	g := NewWithT(t)
	s := &scriptedSource{changes: []error{nil, ErrCompacted, errors.New("lost"), nil}}
	f := NewFollower(NewView(), s.asSource(), time.Second, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	g.Expect(f.Run(ctx, func() {
		if n++; n == 4 {
			cancel()
		}
	})).To(Succeed())
	g.Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes", "snapshot", "changes", "changes"}))
}

func TestAFollowerOfPeersReadsTheSourceWhenTheyHaveNothingNew(t *testing.T) {
	g := NewWithT(t)
	v := NewView()
	calls := 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	read := func() *fleet.Config {
		if calls++; calls == 3 {
			cancel()
		}
		return fleet.NewConfig(uint64(calls), nil, nil, nil, fleet.Limits{})
	}
	source := Source{
		Snapshot: func(context.Context, bool) (Snapshot, error) {
			g.Expect(calls).To(BeZero(), "once it knows a revision, it reads only what it has missed")
			return Snapshot{Config: read(), UpTo: 1}, nil
		},
		Changes: func(_ context.Context, after uint64, wait time.Duration) (Changes, error) {
			g.Expect(after).To(BeEquivalentTo(1))
			g.Expect(wait).To(BeZero(), "the view is too old to wait for changes")
			return Changes{Config: read(), UpTo: 1}, nil
		},
	}
	f := NewFollower(v, source, time.Second, zap.NewNop())
	now := time.Now()
	f.now = func() time.Time { return now }
	fetches := 0
	f.UsePeers(PeerSource{
		ReadsSource: func(bool) bool { return false },
		Fetch: func(context.Context) error {
			if fetches++; fetches%2 == 1 {
				v.Confirm(uint64(calls), now)
				return nil
			}
			now = now.Add(directReadTime) // No peer answered for a long time.
			return errors.New("no answer")
		},
	})
	// After each failure the source is read once, because here the time of direct reads is over at
	// once.
	g.Expect(f.Run(ctx, func() { now = now.Add(2 * directReadTime) })).To(Succeed())
	g.Expect(calls).To(Equal(3))
	g.Expect(fetches).To(BeNumerically(">=", 3))
}

// When the data of all peers is too old, the processes that follow them read the source one after
// the other, and not at all if newer data arrives before their turn.
func TestFollowersOfPeersReadTheSourceInTurn(t *testing.T) {
	const spread, step = time.Second, 10 * time.Millisecond
	for _, tc := range []struct {
		name       string
		turn       float64
		failed     bool          // The source has failed for this process.
		within     time.Duration // In which all take their turns.
		freshAfter time.Duration // Until the data of peers is recent again.
		reads      bool
	}{
		{"the first reads immediately", 0, false, catchUpSpread, spread, true},
		{"one in the middle, at its turn", 0.5, false, catchUpSpread, spread, true},
		{"newer data arrives before its turn", 0.5, false, catchUpSpread, catchUpSpread / 4, false},
		{"the source has failed before: the first reads immediately", 0, true, spread, spread, true},
		{"the source has failed before: one in the middle, at its turn", 0.5, true, spread, spread, true},
		{"the source has failed before: newer data arrives before its turn", 0.5, true, spread, 300 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			v := NewView()
			v.Replace(Snapshot{Config: version(1), UpTo: 1}, at(0), false)
			f := NewFollower(v, Source{}, time.Second, zap.NewNop())
			now := at(maxPeerAge)
			f.now = func() time.Time { return now }
			f.failedSinceRecent = tc.failed
			f.UsePeers(PeerSource{
				ReadsSource: func(bool) bool { return false },
				Fetch: func(context.Context) error {
					if now.Sub(at(maxPeerAge)) >= tc.freshAfter {
						v.Confirm(1, now)
					}
					return nil
				},
				Turn: func() float64 { return tc.turn }, Spread: spread,
			})
			read := false
			for range 2 * spread / step {
				if read = !f.readFromPeer(context.Background()); read {
					break
				}
				now = now.Add(step)
			}
			g.Expect(read).To(Equal(tc.reads))
			if read {
				g.Expect(now.Sub(at(maxPeerAge))).To(BeNumerically("~", tc.turn*float64(tc.within), float64(step)))
			}
		})
	}
}

// While hundreds of endpoints start, each call to the store without batching returned a few of
// them, and each process that follows a peer called it as often.
func TestConsecutiveChangesAreBatchedLonger(t *testing.T) {
	g := NewWithT(t)
	const inForce = 3200 * time.Millisecond
	v := NewView()
	f := NewFollower(v, Source{}, inForce, zap.NewNop())
	g.Expect(f.nextBatchDelay()).To(Equal(startBatchDelay), "there is no configuration yet")
	revision := uint64(1)
	list := func() {
		revision++
		v.Apply(Changes{Endpoints: []fleet.Endpoint{{ID: fmt.Sprint("e", revision), Service: "s", Address: fmt.Sprint("a:", revision), Revision: revision}}, UpTo: revision}, time.Now(), false)
	}
	v.Offer(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), 1)
	g.Expect(f.nextBatchDelay()).To(Equal(minBatchDelay))
	for _, want := range []time.Duration{2 * minBatchDelay, 4 * minBatchDelay, inForce / 16, inForce / 16} {
		list()
		g.Expect(f.nextBatchDelay()).To(Equal(want))
	}
	g.Expect(f.nextBatchDelay()).To(Equal(minBatchDelay), "a call without changes")
	list()
	g.Expect(f.nextBatchDelay()).To(Equal(minBatchDelay), "a single change is reported soon")
}

// The history of the source is shorter than what changes in between, so that each call for changes
// fails with ErrCompacted.
func TestRepeatedCompactionCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const inForce, watched = 3200 * time.Millisecond, 4 * time.Second
		calls, revision := 0, uint64(0)
		source := Source{
			Snapshot: func(context.Context, bool) (Snapshot, error) {
				calls++
				revision++
				return Snapshot{
					Config: fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), UpTo: revision,
					Endpoints: []fleet.Endpoint{{ID: "e", Service: "s", Address: "a:1", Revision: revision}},
				}, nil
			},
			Changes: func(context.Context, uint64, time.Duration) (ch Changes, err error) {
				calls++
				return ch, ErrCompacted
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), watched)
		defer cancel()
		g.Expect(NewFollower(NewView(), source, inForce, zap.NewNop()).Run(ctx, func() {})).To(Succeed())
		g.Expect(calls).To(BeNumerically("<", 60), "in %v", watched)
	})
}
