// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package line

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var at = time.Unix(1000, 0)

func first(id uint64) Waiter { return Waiter{ID: id, Until: at.Add(300 * time.Millisecond)} }

func again(id uint64) Waiter { return Waiter{ID: id, Again: true, Until: at.Add(time.Second)} }

func TestOnlyWhoIsServedInTimeJoins(t *testing.T) {
	g := NewWithT(t)
	l := &Line{}
	g.Expect(l.Join(first(1), 0, at)).To(BeFalse(), "nothing is known of how soon room comes")
	g.Expect(l.Join(first(1), 10, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, at)).To(BeTrue())
	g.Expect(l.Join(first(3), 10, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, at)).To(BeFalse(), "the fourth would wait for 400 ms")
	g.Expect(l.Len()).To(Equal(3))
	l.Leave(2)
	g.Expect(l.Join(first(4), 10, at)).To(BeTrue())
}

func TestFirstTriesGoFirst(t *testing.T) {
	g := NewWithT(t)
	l := &Line{}
	g.Expect(l.Join(again(1), 10, at)).To(BeTrue())
	g.Expect(l.Join(first(2), 10, at)).To(BeTrue())
	g.Expect(l.Join(again(3), 10, at)).To(BeTrue())
	g.Expect(l.Join(first(4), 10, at)).To(BeTrue())
	for _, id := range []uint64{2, 4, 1, 3} {
		g.Expect(l.First(id)).To(BeTrue(), "request %d", id)
		l.Leave(id)
	}
	g.Expect(l.Len()).To(BeZero())
	g.Expect(l.First(0)).To(BeFalse())
}
