// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

var okHead = replyHead{status: http.StatusOK, header: http.Header{"X": {"first"}}}

// newReply returns a reply and the recorder of what it sends.
func newReply() (*reply, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	return &reply{w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), advertise: func() {}}, w
}

// assertComplete checks whether close lets the server complete the answer.
func assertComplete(t *testing.T, p *reply, complete bool) {
	t.Helper()
	g := NewWithT(t)
	if complete {
		g.Expect(p.close).NotTo(Panic())
		return
	}
	g.Expect(p.close).To(PanicWith(http.ErrAbortHandler))
}

func TestReplyEndsAsCompleteOnlyWhenItIs(t *testing.T) {
	t.Run("nothing sent", func(t *testing.T) {
		p, _ := newReply()
		assertComplete(t, p, false)
	})
	t.Run("whole answer", func(t *testing.T) {
		g := NewWithT(t)
		p, w := newReply()
		g.Expect(p.sendComplete(okHead, []byte("body"))).To(Succeed())
		g.Expect(w.Header().Get("Content-Length")).To(Equal("4"))
		assertComplete(t, p, true)
	})
	t.Run("stream without its end", func(t *testing.T) {
		g := NewWithT(t)
		p, _ := newReply()
		g.Expect(p.sendEvent(okHead, []byte("e"))).To(Succeed())
		g.Expect(p.incomplete()).To(BeTrue())
		assertComplete(t, p, false)
	})
	t.Run("stream with its end", func(t *testing.T) {
		g := NewWithT(t)
		p, _ := newReply()
		g.Expect(p.sendEvent(okHead, []byte("e"))).To(Succeed())
		g.Expect(p.endStream()).To(Succeed())
		assertComplete(t, p, true)
	})
}

func TestReplyRejectsWritesInTheWrongState(t *testing.T) {
	failure := replyHead{status: http.StatusInternalServerError, header: http.Header{"X": {"second"}}}
	t.Run("whole answer within a stream", func(t *testing.T) {
		g := NewWithT(t)
		p, w := newReply()
		g.Expect(p.sendEvent(okHead, []byte("e"))).To(Succeed())
		g.Expect(p.sendComplete(failure, []byte("failed"))).To(MatchError(errReplyBegun))
		g.Expect(w.Body.String()).To(Equal("e"))
		g.Expect(w.Header().Get("X")).To(Equal("first"))
		g.Expect(p.status).To(Equal(http.StatusOK))
		assertComplete(t, p, false)
	})
	t.Run("second whole answer", func(t *testing.T) {
		g := NewWithT(t)
		p, w := newReply()
		g.Expect(p.sendComplete(failure, []byte("failed"))).To(Succeed())
		g.Expect(p.sendComplete(okHead, []byte("body"))).To(MatchError(errReplyBegun))
		g.Expect(w.Body.String()).To(Equal("failed"))
	})
	t.Run("event after the end", func(t *testing.T) {
		g := NewWithT(t)
		p, w := newReply()
		g.Expect(p.sendEvent(okHead, []byte("e"))).To(Succeed())
		g.Expect(p.endStream()).To(Succeed())
		g.Expect(p.sendEvent(okHead, []byte("late"))).To(MatchError(errReplyEnded))
		g.Expect(w.Body.String()).To(Equal("e"))
	})
	t.Run("end of a stream that did not begin", func(t *testing.T) {
		g := NewWithT(t)
		p, _ := newReply()
		g.Expect(p.endStream()).To(MatchError(errNoStream))
		assertComplete(t, p, false)
	})
}

func TestCursorChecksTheNextEvent(t *testing.T) {
	named := func(id int64) event { return event{id: id, hasID: true, hasData: true} }
	unnamed := event{hasData: true}
	comment := event{}
	after := func(events ...event) (c cursor) {
		for i, ev := range events {
			c.advance(ev, i == 0)
		}
		return c
	}
	for _, tc := range []struct {
		name   string
		at     cursor
		next   event
		joined bool
		why    error
	}{
		{"first event", cursor{}, named(7), false, nil},
		{"next of a run", after(named(1)), named(2), false, nil},
		{"ids of a run that skip", after(named(1)), named(5), false, nil},
		{"repeated id within a run", after(named(2)), named(2), false, errDuplicateEvent},
		{"next of another run", after(named(1)), named(2), true, nil},
		{"repeated id from another run", after(named(2)), named(1), true, errDuplicateEvent},
		{"gap before another run", after(named(1)), named(3), true, errEventGap},
		{"gap where ids skip", after(named(1), named(4)), named(7), true, nil},
		{"no id from another run", after(named(1)), unnamed, true, errEventWithoutID},
		{"comment from another run", after(named(1)), comment, true, nil},
		{"last event of the caller", cursorFrom("2"), named(2), false, errDuplicateEvent},
		{"after the last event of the caller", cursorFrom("2"), named(3), false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			if tc.why == nil {
				g.Expect(tc.at.check(tc.next, tc.joined)).To(Succeed())
				return
			}
			g.Expect(tc.at.check(tc.next, tc.joined)).To(MatchError(tc.why))
		})
	}
	t.Run("where a run may continue", func(t *testing.T) {
		g := NewWithT(t)
		can := func(c cursor) bool { return c.resumable() }
		g.Expect(can(after(named(1)))).To(BeTrue())
		g.Expect(can(after(named(1), comment))).To(BeTrue())
		g.Expect(can(after(unnamed))).To(BeFalse())
		g.Expect(can(after(named(1), unnamed))).To(BeFalse())
		g.Expect(can(after(unnamed, named(2)))).To(BeTrue())
	})
}
