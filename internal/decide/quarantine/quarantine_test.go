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

// bookOf returns a book with one end of a key for each sending, a second apart.
func bookOf(sendings ...Knowledge) (b *History, last time.Time) {
	b, last = New(), start
	for i, s := range sendings {
		last = start.Add(time.Duration(i) * time.Second)
		b.Add(End{Key: key, Endpoint: fmt.Sprintf("e-%d", i), Knowledge: s, At: last}, time.Time{})
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

func TestWhatIsHeld(t *testing.T) {
	for _, tc := range []struct {
		name     string
		sendings []Knowledge
		verdict  Verdict
		left     time.Duration
	}{
		{"nothing known", nil, Free, 0},
		{"at one endpoint that ended", []Knowledge{NoKnownEnd}, Free, 0},
		{"at two that ended together", []Knowledge{NoKnownEnd, NoKnownEnd}, Free, 0},
		{"at three that ended together", []Knowledge{NoKnownEnd, NoKnownEnd, NoKnownEnd}, Held, oneCause},
		{"sent on and ended one more", []Knowledge{NoKnownEnd, KnownEnd}, Held, firstHold},
		{"tried and ended one more", []Knowledge{NoKnownEnd, KnownEnd, OnTrial}, Held, holdGrowth * firstHold},
		{"tried twice", []Knowledge{NoKnownEnd, KnownEnd, OnTrial, OnTrial}, Held, holdGrowth * holdGrowth * firstHold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b, last := bookOf(tc.sendings...)
			assertVerdict(g, b, last, tc.verdict, tc.left)
			if tc.verdict == Held {
				assertVerdict(g, b, last.Add(tc.left), Trial, 0)
			}
		})
	}
}

func TestAHoldIsBounded(t *testing.T) {
	g := NewWithT(t)
	sendings := []Knowledge{NoKnownEnd, KnownEnd}
	for range 20 {
		sendings = append(sendings, OnTrial)
	}
	b, last := bookOf(sendings...)
	assertVerdict(g, b, last, Held, longestHold)
}

func TestARequestThatRanToItsEndIsFreeAgain(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd, KnownEnd)
	g.Expect(b.RecordCompletion(key)).To(BeTrue())
	g.Expect(b.RecordCompletion(key)).To(BeFalse(), "it is known already")
	assertVerdict(g, b, last, Free, 0)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(NoKnownEnd))
	b.Add(End{Key: key, Endpoint: "e-0", At: start}, start)
	assertVerdict(g, b, last, Free, 0)
	b.Add(End{Key: key, Endpoint: "later", At: last}, start)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(KnownEnd), "a new end counts")
}

func TestOneTrialAtATime(t *testing.T) {
	g := NewWithT(t)
	b, now := bookOf(NoKnownEnd, NoKnownEnd, NoKnownEnd)
	until := now.Add(8 * time.Second)
	g.Expect(b.BeginTrial(key, now, until)).To(BeTrue())
	g.Expect(b.BeginTrial(key, now.Add(time.Second), until)).To(BeFalse())
	b.EndTrial(key)
	g.Expect(b.BeginTrial(key, now.Add(time.Second), until)).To(BeTrue())
	g.Expect(b.BeginTrial(key, until, until)).To(BeTrue(), "the other one is over")
}

func TestEndsLapse(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd)
	b.Forget(last.Add(keepFor))
	g.Expect(b.Empty()).To(BeFalse())
	b.Forget(last.Add(keepFor + 1))
	g.Expect(b.Empty()).To(BeTrue())
	b, last = bookOf(NoKnownEnd, KnownEnd, OnTrial, OnTrial, OnTrial)
	b.Forget(last.Add(holdGrowth * holdGrowth * holdGrowth * firstHold))
	g.Expect(b.Empty()).To(BeFalse(), "its next trial must know of the ones before")
}

// Many who were at one endpoint that ended must not drive out a request that is held.
func TestAFullBookKeepsWhatIsHeld(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd, KnownEnd)
	for i := range 2 * mostKeys {
		other := KeyOf("POST", "h", "/p", "c", fmt.Appendf(nil, "%d", i))
		b.Add(End{Key: other, Endpoint: "e", At: last.Add(time.Minute)}, time.Time{})
	}
	g.Expect(b.entries).To(HaveLen(mostKeys))
	assertVerdict(g, b, last, Held, firstHold)
}

func TestBooksConvergeInAnyOrder(t *testing.T) {
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
	g.Expect(first.Add(list[2], start)).To(BeFalse(), "it tells nothing new")
}

func TestAllEndsAreToldInTurn(t *testing.T) {
	g := NewWithT(t)
	b, now := bookOf(NoKnownEnd, NoKnownEnd, NoKnownEnd)
	for round := range 4 {
		told := map[string]bool{}
		for half := range 2 {
			for _, e := range b.NextToSend(2, now.Add(time.Duration(2*round+half)*time.Second)) {
				told[e.Endpoint] = true
			}
			g.Expect(b.HasUnsent()).To(Equal(round+half == 0))
		}
		g.Expect(told).To(HaveLen(3), "two messages of two name all three")
	}
	b.Add(End{Key: key, Endpoint: "heard", At: now}, now)
	g.Expect(b.HasUnsent()).To(BeFalse(), "whoever saw it tells all")
}

// A cut by resets breaks off what is under way at all endpoints behind it, one after the
// other as it is noticed.
func TestEndsOfOneCauseAreNotKnown(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd)
	g.Expect(b.KnowledgeOf(key, last.Add(oneCause))).To(Equal(NoKnownEnd))
	g.Expect(b.KnowledgeOf(key, last.Add(oneCause+1))).To(Equal(KnownEnd))
}

func TestAnEndpointThatAnswersHasNotEnded(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd, KnownEnd)
	g.Expect(b.RecordAnswer("e-1", last)).To(BeFalse(), "what was sent before the end may have been answered before it")
	g.Expect(b.RecordAnswer("another", last.Add(1))).To(BeFalse())
	assertVerdict(g, b, last, Held, firstHold)
	g.Expect(b.RecordAnswer("e-1", last.Add(1))).To(BeTrue())
	assertVerdict(g, b, last, Free, 0)
	g.Expect(b.KnowledgeOf(key, last.Add(time.Minute))).To(Equal(KnownEnd), "the other end counts still")
	b.Add(End{Key: key, Endpoint: "e-1", Knowledge: KnownEnd, At: last}, time.Time{})
	assertVerdict(g, b, last, Free, 0)
}

// A process that starts anew is told first of what must not be sent, however much else there is.
func TestWhatIsHeldIsToldFirst(t *testing.T) {
	g := NewWithT(t)
	b, last := bookOf(NoKnownEnd, KnownEnd)
	for i := range 20 {
		other := KeyOf("POST", "h", "/p", "c", fmt.Appendf(nil, "%d", i))
		b.Add(End{Key: other, Endpoint: "e", At: last.Add(time.Minute)}, time.Time{})
	}
	for _, e := range b.MostSevere(2) {
		g.Expect(e.Key).To(Equal(key))
	}
	g.Expect(b.HasUnsent()).To(BeTrue(), "it was told to one only")
}
