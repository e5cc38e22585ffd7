// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package suspects

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
)

func ask(s *Set, method, target string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	s.AddHandlers(mux, func() time.Time { return now })
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(method, target, nil))
	return w
}

func TestOperatorsListAndReleaseSuspects(t *testing.T) {
	g := NewWithT(t)
	s, other := setWithTwoEnds(), newSet()
	other.MergeEnds(s.NextToSend(now), now)
	g.Expect(s.ListHeld(now)).To(HaveLen(1))
	one := s.List(now)[0]
	g.Expect(one.Verdict).To(Equal("held"))
	g.Expect(one.Ends).To(HaveLen(2))
	g.Expect(one.Ends[0].Counted).To(BeTrue())
	g.Expect(ask(s, http.MethodGet, PathQuarantine).Body.String()).To(ContainSubstring(key.String()))

	g.Expect(ask(s, http.MethodPost, PathRelease+"?key=zz").Code).To(Equal(http.StatusBadRequest))
	g.Expect(ask(s, http.MethodGet, PathRelease+"?key="+key.String()).Code).To(Equal(http.StatusMethodNotAllowed))
	g.Expect(ask(s, http.MethodPost, PathRelease+"?key="+key.String()).Code).To(Equal(http.StatusNoContent))
	g.Expect(ask(s, http.MethodPost, PathRelease+"?key="+key.String()).Code).To(Equal(http.StatusNotFound))
	other.MergeEnds(s.NextToSend(now), now)
	expectVerdict(g, other, quarantine.Free)
	g.Expect(other.ListHeld(now)).To(BeEmpty())
}
