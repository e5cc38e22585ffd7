// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// lendStep is the time between two looks of a gateway that lends at what it has to say.
const lendStep = 20 * time.Millisecond

// post is a message under way.
type post struct {
	due  time.Duration
	from int
	to   string
	part ShareMessage
}

// lenders is a fleet whose gateways lend each other parts.
type lenders struct {
	*fleet
	random *rand.Rand
	index  map[string]int
	posts  []post
	lost   float64                // Part of all messages.
	asleep func(gateway int) bool // Whether it is suspended now; what it is told waits.
	said   map[Kind]int
	word   Update
	// doubles says that a part may be at two gateways for a moment: those who know of other
	// gateways, or have started anew, count by the limit only.
	doubles bool
	moves   func(now time.Duration) (from, to int) // Where callers come.
}

func newLenders(gateways int, limit float64) *lenders {
	f := &lenders{fleet: newFleet(gateways), random: rand.New(rand.NewPCG(1, 2)), index: map[string]int{}, asleep: func(int) bool { return false }, said: map[Kind]int{}}
	for i, name := range f.names {
		f.index[name] = i
	}
	f.name(true, limit)
	f.word = Update{endpointID, Report{Limited: true, Limit: limit, At: start}}
	return f
}

func (f *lenders) clock(i int) time.Time { return start.Add(f.now + f.skew[i]) }

func (f *lenders) say(from int, to string, p ShareMessage) {
	f.said[p.Kind]++
	if f.random.Float64() >= f.lost {
		f.posts = append(f.posts, post{f.now + time.Duration(f.random.IntN(15))*time.Millisecond, from, to, p})
	}
}

func (f *lenders) deliver() {
	list := f.posts
	f.posts = nil
	for _, m := range list {
		to := f.index[m.to]
		if m.due > f.now || f.asleep(to) {
			f.posts = append(f.posts, m)
			continue
		}
		if answer, ok := f.gateways[to].ReceiveMessage(f.names[m.from], m.part, f.clock(to)); ok {
			f.say(to, f.names[m.from], answer)
		}
	}
}

// here returns how many parts of the limit gateways have, all together.
func (f *lenders) here(limit float64) float64 {
	sum := 0.0
	for i, l := range f.gateways {
		sum += l.AvailableRate(endpointID, f.clock(i))
	}
	return sum / ShareOf(limit, 0, len(f.gateways)).Rate
}

// play lets callers come for some time, who use every token.
func (f *lenders) play(t *testing.T, limit float64, lasts time.Duration) {
	t.Helper()
	skewed := f.skew[0] != 0
	parts := min(math.Floor(limit)+1, float64(len(f.gateways)))
	for end := f.now + lasts; f.now < end; f.now += lendStep {
		f.deliver()
		from, to := f.moves(f.now)
		for i := from; i < to; i++ {
			for !f.asleep(i) && f.gateways[i].MaySend(endpointID, f.clock(i)) {
				f.gateways[i].Take(endpointID, f.clock(i))
				f.sent = append(f.sent, f.now)
			}
		}
		for i, l := range f.gateways {
			if f.asleep(i) {
				continue
			}
			for _, letter := range l.OutgoingMessages(f.clock(i)) {
				f.say(i, letter.To, letter.ShareMessage)
			}
		}
		if here := f.here(limit); !skewed && !f.doubles && here > parts+1e-6 {
			t.Fatalf("%v parts of %v are used at %v", here, parts, f.now)
		}
	}
}

func allAt(gateway int) func(time.Duration) (int, int) {
	return func(time.Duration) (int, int) { return gateway, gateway + 1 }
}

func eachSecond(gateways int) func(time.Duration) (int, int) {
	return func(now time.Duration) (int, int) {
		at := int(now/time.Second) * 7 % gateways
		return at, at + 1
	}
}

func everywhere(gateways int) func(time.Duration) (int, int) {
	return func(time.Duration) (int, int) { return 0, gateways }
}

// used returns the part of a limit that was used.
func (f *lenders) used(limit float64) float64 {
	return float64(len(f.sent)) / (limit * f.now.Seconds())
}

var fleetSizes = []int{2, 6, 30, 531}

func TestPartsThatAreLentKeepWithinALimitAndUseHalfOfItWhereverCallersCome(t *testing.T) {
	const lasts = 21 * time.Second
	for _, n := range fleetSizes {
		for where, moves := range map[string]func(time.Duration) (int, int){"at one": allAt(n / 2), "moving": eachSecond(n), "everywhere": everywhere(n)} {
			for _, limit := range []float64{0, 0.5, 1, 2, 4, 6, 50} {
				t.Run(fmt.Sprintf("%d gateways, %v a second, callers %s", n, limit, where), func(t *testing.T) {
					f := newLenders(n, limit)
					f.moves = moves
					f.play(t, limit, lasts)
					assertWithin(t, f.fleet, limit)
					if limit > 0 {
						most, _ := f.most()
						t.Logf("used %.2f, at most %d in %v; messages a second: %.1f asks, %.1f grants, %.1f refusals, %.1f returns", f.used(limit), most, window,
							f.rate(Borrow), f.rate(Grant), f.rate(RefusedLent)+f.rate(RefusedInUse), f.rate(Return))
						NewWithT(t).Expect(f.used(limit)).To(BeNumerically(">=", 0.5))
					}
					assertFewAsks(t, f, limit, where == "everywhere")
				})
			}
		}
	}
}

func (f *lenders) rate(k Kind) float64 { return float64(f.said[k]) / f.now.Seconds() }

// assertFewAsks checks the asks against the formula of the design: of one gateway in want, or
// of a whole fleet.
func assertFewAsks(t *testing.T, f *lenders, limit float64, all bool) {
	t.Helper()
	parts := min(math.Floor(limit)+1, float64(len(f.gateways)))
	bound := parts / askEvery.Seconds()
	if all { // A lender in use is asked after 0, 0.2, 1, and 4.2 s of a turn.
		bound = float64(len(f.gateways)) * parts * 4 / turnTime.Seconds() * 1.3 // Three turns begin in 21 s.
		bound += parts / askEvery.Seconds()
	}
	NewWithT(t).Expect(f.rate(Borrow)).To(BeNumerically("<=", bound), "asks a second")
}

func TestPartsThatAreLentKeepWithinALimitUnderFailure(t *testing.T) {
	const lasts = 40 * time.Second
	for name, harm := range map[string]func(f *lenders){
		"a third of all messages is lost": func(f *lenders) { f.lost = 1.0 / 3 },
		"clocks differ": func(f *lenders) {
			for i := range f.skew {
				f.skew[i] = time.Duration(i%3-1) * time.Second
			}
		},
		"borrowers are suspended": func(f *lenders) {
			f.asleep = func(i int) bool {
				at, _ := f.moves(f.now)
				return i == at && f.now%(3*time.Second) > 1200*time.Millisecond && f.now%(3*time.Second) < 2700*time.Millisecond
			}
		},
		"lenders are suspended": func(f *lenders) {
			f.asleep = func(i int) bool { return i%2 == 0 && f.now%(3*time.Second) > 1500*time.Millisecond }
		},
	} {
		for _, n := range []int{6, 30} {
			for where, moves := range map[string]func(time.Duration) (int, int){"at one": allAt(n / 2), "moving": eachSecond(n), "everywhere": everywhere(n)} {
				for _, limit := range limits {
					t.Run(fmt.Sprintf("%s, %d gateways, %v a second, callers %s", name, n, limit, where), func(t *testing.T) {
						f := newLenders(n, limit)
						f.moves = moves
						harm(f)
						f.play(t, limit, lasts)
						assertWithin(t, f.fleet, limit)
					})
				}
			}
		}
	}
}

func TestPartsThatAreLentKeepWithinALimitWhileTheFleetChanges(t *testing.T) {
	const n = 12
	for name, change := range map[string]func(f *lenders){
		"gateways end and start": func(f *lenders) {
			if f.now%(6*time.Second) < 3*time.Second {
				f.know(f.names)
			} else {
				f.know(f.names[:n/2])
			}
		},
		"a gateway starts anew": func(f *lenders) {
			if f.now%(5*time.Second) == 2*time.Second {
				i := int(f.now/time.Second) % n
				f.gateways[i] = New()
				f.gateways[i].SetGateways(f.names[i], f.names)
				f.gateways[i].Merge(f.word)
			}
		},
	} {
		for where, moves := range map[string]func(time.Duration) (int, int){"at one": allAt(1), "moving": eachSecond(n / 2)} {
			for _, limit := range limits {
				t.Run(fmt.Sprintf("%s, %v a second, callers %s", name, limit, where), func(t *testing.T) {
					f := newLenders(n, limit)
					f.doubles = true
					f.moves = func(now time.Duration) (int, int) {
						change(f)
						return moves(now)
					}
					f.play(t, limit, 40*time.Second)
					assertWithin(t, f.fleet, limit)
				})
			}
		}
	}
}

func TestTheSidesOfACutLendTheirOwnPartsOnly(t *testing.T) {
	for _, limit := range limits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			f := newLenders(12, limit)
			f.doubles = true
			f.moves = allAt(0)
			f.play(t, limit, 4*time.Second)
			for i, l := range f.gateways {
				l.SetGateways(f.names[i], f.names[i/6*6:i/6*6+6])
			}
			f.moves = func(now time.Duration) (int, int) { return int(now/lendStep) % 2 * 6, int(now/lendStep)%2*6 + 1 }
			f.play(t, limit, 25*time.Second)
			assertBounded(t, f.fleet, 2, limit)
			f.know(f.names)
			f.now += window
			f.sent = nil
			f.play(t, limit, 25*time.Second)
			assertWithin(t, f.fleet, limit)
		})
	}
}

func TestALimitThatFallsHoldsAtOnceWithBorrowedParts(t *testing.T) {
	f := newLenders(30, 50)
	f.moves = allAt(0)
	f.play(t, 50, 5*time.Second)
	f.sent = nil
	f.name(true, 1)
	f.doubles = true // Until the leases of before are over.
	f.play(t, 1, 15*time.Second)
	assertWithin(t, f.fleet, 1)
}

// pair returns a borrower and a lender with the only part of a limit, at the start of a turn.
func pair(t *testing.T) (borrower, lender *Limits, now time.Time) {
	t.Helper()
	now = time.Unix(0, turnOf(start)*int64(turnTime))
	names := []string{"10.0.0.1:1", "10.0.0.2:1"}
	list := []*Limits{New(), New()}
	for i, l := range list {
		l.SetGateways(names[i], names)
		l.Merge(Update{endpointID, Report{Limited: true, Limit: 0.5, At: now}})
	}
	if list[0].AvailableRate(endpointID, now) > 0 {
		return list[1], list[0], now
	}
	return list[0], list[1], now
}

// ask has a gateway in want ask, and returns the ask.
func ask(t *testing.T, l *Limits, now time.Time) ShareMessage {
	t.Helper()
	NewWithT(t).Expect(l.MaySend(endpointID, now)).To(BeFalse())
	list := l.OutgoingMessages(now)
	NewWithT(t).Expect(list).To(HaveLen(1))
	NewWithT(t).Expect(list[0].Kind).To(Equal(Borrow))
	return list[0].ShareMessage
}

func grant(t *testing.T, lender, borrower *Limits, asked ShareMessage, now time.Time) ShareMessage {
	t.Helper()
	p, ok := lender.ReceiveMessage(borrower.self, asked, now)
	NewWithT(t).Expect(ok).To(BeTrue())
	NewWithT(t).Expect(p.Kind).To(Equal(Grant))
	return p
}

func TestAPartMovesWithItsTokensAndBack(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	p := grant(t, lender, borrower, ask(t, borrower, now), now)
	g.Expect(p.Tokens).To(BeNumerically("~", 1))
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse())
	borrower.ReceiveMessage(lender.self, p, now)
	g.Expect(borrower.MaySend(endpointID, now)).To(BeTrue())
	now = now.Add(quiet)
	list := borrower.OutgoingMessages(now)
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Kind).To(Equal(Return))
	g.Expect(borrower.MaySend(endpointID, now)).To(BeFalse())
	lender.ReceiveMessage(borrower.self, list[0].ShareMessage, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeTrue())
	lender.Take(endpointID, now)
	lender.ReceiveMessage(borrower.self, list[0].ShareMessage, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse(), "a return that is doubled counts once")
}

func TestAGrantThatIsLateDoubledOrNotAskedForIsDropped(t *testing.T) {
	for name, play := range map[string]func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time{
		"late": func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time {
			now = now.Add(lease)
			borrower.ReceiveMessage(lender.self, p, now)
			return now
		},
		"doubled": func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time {
			borrower.ReceiveMessage(lender.self, p, now)
			borrower.Take(endpointID, now)
			borrower.ReceiveMessage(lender.self, p, now)
			return now
		},
		"of another number": func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time {
			p.RequestNumber++
			borrower.ReceiveMessage(lender.self, p, now)
			return now
		},
		"of another gateway": func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time {
			borrower.ReceiveMessage("10.0.0.3:1", p, now)
			return now
		},
	} {
		t.Run(name, func(t *testing.T) {
			borrower, lender, now := pair(t)
			p := grant(t, lender, borrower, ask(t, borrower, now), now)
			NewWithT(t).Expect(borrower.MaySend(endpointID, play(borrower, lender, p, now))).To(BeFalse())
		})
	}
}

// Guards against a return that is overtaken by an ask and ends the lease that came of it.
func TestAReturnOfAFormerLeaseIsDropped(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	borrower.ReceiveMessage(lender.self, grant(t, lender, borrower, ask(t, borrower, now), now), now)
	now = now.Add(quiet)
	returned := borrower.OutgoingMessages(now)
	g.Expect(returned).To(HaveLen(1))
	p := grant(t, lender, borrower, ask(t, borrower, now), now)
	lender.ReceiveMessage(borrower.self, returned[0].ShareMessage, now)
	g.Expect(lender.AvailableRate(endpointID, now)).To(BeZero())
	borrower.ReceiveMessage(lender.self, p, now)
	g.Expect(borrower.AvailableRate(endpointID, now)).To(BeNumerically(">", 0))
}

// Guards against a gateway whose part stays with another one although it has callers itself.
func TestALenderThatMissesItsPartHasItBackAfterTheLease(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	borrower.ReceiveMessage(lender.self, grant(t, lender, borrower, ask(t, borrower, now), now), now)
	borrower.Take(endpointID, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse())
	asked := ask(t, borrower, now.Add(lease*6/10))
	refused, ok := lender.ReceiveMessage(borrower.self, asked, now.Add(lease*6/10))
	g.Expect(ok).To(BeTrue())
	g.Expect(refused.Kind).To(Equal(RefusedInUse))
	g.Expect(lender.AvailableRate(endpointID, now.Add(lease))).To(BeNumerically(">", 0))
}

func TestALeaseEndsWithTheTurn(t *testing.T) {
	borrower, lender, now := pair(t)
	now = now.Add(turnTime - lease/4)
	NewWithT(t).Expect(grant(t, lender, borrower, ask(t, borrower, now), now).LeaseTime).To(Equal(lease / 4))
}

func TestTheOtherHoldersOfPartsAreThoseThatHaveAPlace(t *testing.T) {
	names := newFleet(30).names
	for _, limit := range limits {
		for turn := range int64(20) {
			var want, got []string
			for _, name := range names {
				if name != names[0] && ShareOf(limit, placeOf(endpointID, turn, name, names), len(names)).Rate > 0 {
					want = append(want, name)
				}
			}
			for _, h := range holdersOf(endpointID, turn, limit, names[0], names) {
				got = append(got, h.name)
			}
			NewWithT(t).Expect(got).To(ConsistOf(want))
		}
	}
}
