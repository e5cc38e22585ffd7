// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	key   = KeyOf("POST", "h", "/p", "c", []byte("body"))
	start = time.Unix(1000, 0)
)

// historyOf returns a history with one end of a key for each given knowledge, a second apart.
func historyOf(list ...Knowledge) (b *History, last time.Time) {
	b, last = New(), start
	for i, knowledge := range list {
		last = start.Add(time.Duration(i) * time.Second)
		b.Add(End{Key: key, Endpoint: fmt.Sprintf("e-%d", i), Knowledge: knowledge, At: last}, time.Time{})
	}
	return b, last
}

func assertVerdict(g *WithT, b *History, now time.Time, want Verdict, left time.Duration) {
	v, d := b.Judge(key, now)
	g.Expect(v).To(Equal(want))
	if want == Held {
		g.Expect(d).To(Equal(left))
	}
}

func TestVerdictsByKnownEnds(t *testing.T) {
	for _, tc := range []struct {
		name      string
		knowledge []Knowledge
		verdict   Verdict
		left      time.Duration
	}{
		{"nothing known", nil, Free, 0},
		{"one endpoint ended", []Knowledge{NoKnownEnd}, Free, 0},
		{"two endpoints ended together", []Knowledge{NoKnownEnd, NoKnownEnd}, Free, 0},
		{"three endpoints ended together", []Knowledge{NoKnownEnd, NoKnownEnd, NoKnownEnd}, Held, sameCauseWindow},
		{"sent again and ended another one", []Knowledge{NoKnownEnd, KnownEnd}, Held, initialHold},
		{"a trial ended another one", []Knowledge{NoKnownEnd, KnownEnd, OnTrial}, Held, holdGrowth * initialHold},
		{"two trials ended one each", []Knowledge{NoKnownEnd, KnownEnd, OnTrial, OnTrial}, Held, holdGrowth * holdGrowth * initialHold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b, last := historyOf(tc.knowledge...)
			assertVerdict(g, b, last, tc.verdict, tc.left)
			if tc.verdict == Held {
				assertVerdict(g, b, last.Add(tc.left), Trial, 0)
			}
		})
	}
}

func TestAHoldIsBounded(t *testing.T) {
	g := NewWithT(t)
	knowledge := []Knowledge{NoKnownEnd, KnownEnd}
	for range 20 {
		knowledge = append(knowledge, OnTrial)
	}
	b, last := historyOf(knowledge...)
	assertVerdict(g, b, last, Held, maxHold)
}

func TestACompletedRequestIsFreeAgain(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd, KnownEnd)
	g.Expect(b.RecordCompletion(key)).To(BeTrue())
	g.Expect(b.RecordCompletion(key)).To(BeFalse(), "the completion is already known")
	assertVerdict(g, b, last, Free, 0)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(NoKnownEnd))
	b.Add(End{Key: key, Endpoint: "e-0", At: start}, start)
	assertVerdict(g, b, last, Free, 0)
	b.Add(End{Key: key, Endpoint: "later", At: last}, start)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(KnownEnd), "a new end counts")
}

func TestOneTrialAtATime(t *testing.T) {
	g := NewWithT(t)
	b, now := historyOf(NoKnownEnd, NoKnownEnd, NoKnownEnd)
	until := now.Add(8 * time.Second)
	g.Expect(b.BeginTrial(key, now, until)).To(BeTrue())
	g.Expect(b.BeginTrial(key, now.Add(time.Second), until)).To(BeFalse())
	b.EndTrial(key)
	g.Expect(b.BeginTrial(key, now.Add(time.Second), until)).To(BeTrue())
	g.Expect(b.BeginTrial(key, until, until)).To(BeTrue(), "the other trial has ended")
}

func TestEndsExpire(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd)
	b.Forget(last.Add(retention))
	g.Expect(b.Empty()).To(BeFalse())
	b.Forget(last.Add(retention + 1))
	g.Expect(b.Empty()).To(BeTrue())
	b, last = historyOf(NoKnownEnd, KnownEnd, OnTrial, OnTrial, OnTrial)
	b.Forget(last.Add(holdGrowth * holdGrowth * holdGrowth * initialHold))
	g.Expect(b.Empty()).To(BeFalse(), "its next trial must know of the ones before")
}

// The many requests that were at one endpoint when it ended must not evict a held request.
func TestEvictionKeepsHeldRequests(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd, KnownEnd)
	for i := range 2 * maxKeys {
		other := KeyOf("POST", "h", "/p", "c", fmt.Appendf(nil, "%d", i))
		b.Add(End{Key: other, Endpoint: "e", At: last.Add(time.Minute)}, time.Time{})
	}
	g.Expect(b.entries).To(HaveLen(maxKeys))
	assertVerdict(g, b, last, Held, initialHold)
}

func TestHistoriesConvergeInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	list := []End{
		{Key: key, Endpoint: "e-0", At: start}, {Key: key, Endpoint: "e-1", Knowledge: KnownEnd, At: start},
		{Key: key, Endpoint: "e-1", At: start}, {Key: key, Endpoint: "e-0", Void: true, At: start},
	}
	first, second := New(), New()
	for i := range list {
		first.Add(list[i], time.Time{})
		second.Add(list[len(list)-1-i], time.Time{})
	}
	g.Expect(first).To(Equal(second))
	g.Expect(first.Add(list[2], start)).To(BeFalse(), "it changes nothing")
}

func TestAllEndsAreSentInTurn(t *testing.T) {
	g := NewWithT(t)
	b, now := historyOf(NoKnownEnd, NoKnownEnd, NoKnownEnd)
	for round := range 4 {
		sent := map[string]bool{}
		for half := range 2 {
			for _, e := range b.TakeNextToSend(2, now.Add(time.Duration(2*round+half)*time.Second)) {
				sent[e.Endpoint] = true
			}
			g.Expect(b.HasUnsent()).To(Equal(round+half == 0))
		}
		g.Expect(sent).To(HaveLen(3), "two messages with two ends each contain all three")
	}
	b.Add(End{Key: key, Endpoint: "heard", At: now}, now)
	g.Expect(b.HasUnsent()).To(BeFalse(), "the process that observed it sends it to all")
}

// A partition that resets connections aborts the requests in flight at all endpoints behind it,
// one after the other as it is detected.
func TestRecentEndsMayHaveTheSameCause(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd)
	g.Expect(b.KnowledgeOf(key, last.Add(sameCauseWindow))).To(Equal(NoKnownEnd))
	g.Expect(b.KnowledgeOf(key, last.Add(sameCauseWindow+1))).To(Equal(KnownEnd))
}

func TestAnEndpointThatAnswersHasNotEnded(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd, KnownEnd)
	g.Expect(b.RecordAnswer("e-1", last)).To(BeFalse(), "what was sent before the end may have been answered before it")
	g.Expect(b.RecordAnswer("another", last.Add(1))).To(BeFalse())
	assertVerdict(g, b, last, Held, initialHold)
	g.Expect(b.RecordAnswer("e-1", last.Add(1))).To(BeTrue())
	assertVerdict(g, b, last, Free, 0)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(KnownEnd), "the other end still counts")
	b.Add(End{Key: key, Endpoint: "e-1", Knowledge: KnownEnd, At: last}, time.Time{})
	assertVerdict(g, b, last, Free, 0)
}

// A process that restarts first receives the ends of held requests, however many others there are.
func TestEndsOfHeldRequestsAreSentFirst(t *testing.T) {
	g := NewWithT(t)
	b, last := historyOf(NoKnownEnd, KnownEnd)
	for i := range 20 {
		other := KeyOf("POST", "h", "/p", "c", fmt.Appendf(nil, "%d", i))
		b.Add(End{Key: other, Endpoint: "e", At: last.Add(time.Minute)}, time.Time{})
	}
	for _, e := range b.MostSevere(2) {
		g.Expect(e.Key).To(Equal(key))
	}
	g.Expect(b.HasUnsent()).To(BeTrue(), "it was sent to one process only")
}
