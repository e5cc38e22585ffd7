// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package standin

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestStoreGivesOneAfterTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	s := NewStore(100)
	g.Expect(s.Load(200, now)).To(gomega.Equal(now.Add(2 * time.Second)))
	g.Expect(s.Load(100, now.Add(time.Second))).To(gomega.Equal(now.Add(3 * time.Second)))
	g.Expect(s.Load(100, now.Add(time.Hour))).To(gomega.Equal(now.Add(time.Hour + time.Second)))
	g.Expect(s.BytesRequested()).To(gomega.Equal(400.0))
}

func TestLate(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	l := late[int]{lag: 2 * time.Second}
	for i := range 5 {
		l.add(now.Add(time.Duration(i)*time.Second), i)
	}
	g.Expect(l.get(now.Add(4 * time.Second))).To(gomega.Equal(2))
	g.Expect(l.get(now.Add(time.Minute))).To(gomega.Equal(4))
}

func TestTokensFollowFromThePrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Answer("a", 3)).To(gomega.Equal(Token("a", 0) + Token("a", 1) + Token("a", 2)))
	g.Expect(Answer("a", 3)).NotTo(gomega.Equal(Answer("b", 3)))
}
