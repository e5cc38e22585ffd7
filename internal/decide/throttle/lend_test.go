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

// tick is the interval at which gateways send and receive messages about shares.
const tick = 20 * time.Millisecond

// delayedMessage is a message in flight.
type delayedMessage struct {
	deliverAt time.Duration
	from      int
	to        string
	message   ShareMessage
}

// lendingFleet is a fleet whose gateways lend each other shares.
type lendingFleet struct {
	*fleet
	random     *rand.Rand
	index      map[string]int
	inFlight   []delayedMessage
	lossRate   float64                // Fraction of all messages.
	suspended  func(gateway int) bool // Whether a gateway is suspended now; messages to it wait.
	sentByKind map[Kind]int
	report     Update
	// allowOverlap disables the check that each share is held by one gateway only: gateways that
	// know of different gateways, or have restarted, may hold the same share for a short time, and
	// are checked against the limit only.
	allowOverlap bool
	callersAt    func(now time.Duration) (from, to int) // The range of gateways that have callers.
}

func newLendingFleet(gateways int, limit float64) *lendingFleet {
	f := &lendingFleet{fleet: newFleet(gateways), random: rand.New(rand.NewPCG(1, 2)), index: map[string]int{}, suspended: func(int) bool { return false }, sentByKind: map[Kind]int{}}
	for i, name := range f.names {
		f.index[name] = i
	}
	f.reportLimit(true, limit)
	f.report = Update{endpointID, Report{Limited: true, Limit: limit, At: start}}
	return f
}

func (f *lendingFleet) clock(i int) time.Time { return start.Add(f.now + f.skew[i]) }

func (f *lendingFleet) send(from int, to string, m ShareMessage) {
	f.sentByKind[m.Kind]++
	if f.random.Float64() >= f.lossRate {
		f.inFlight = append(f.inFlight, delayedMessage{f.now + time.Duration(f.random.IntN(15))*time.Millisecond, from, to, m})
	}
}

func (f *lendingFleet) deliver() {
	list := f.inFlight
	f.inFlight = nil
	for _, m := range list {
		to := f.index[m.to]
		if m.deliverAt > f.now || f.suspended(to) {
			f.inFlight = append(f.inFlight, m)
			continue
		}
		if answer, ok := f.gateways[to].ReceiveMessage(f.names[m.from], m.message, f.clock(to)); ok {
			f.send(to, f.names[m.from], answer)
		}
	}
}

// heldShares returns the number of shares of the limit that all gateways hold together.
func (f *lendingFleet) heldShares(limit float64) float64 {
	sum := 0.0
	for i, l := range f.gateways {
		sum += l.AvailableRate(endpointID, f.clock(i))
	}
	return sum / ShareOf(limit, 0, len(f.gateways)).Rate
}

// simulate runs the fleet for some time, with callers that use every token.
func (f *lendingFleet) simulate(t *testing.T, limit float64, lasts time.Duration) {
	t.Helper()
	skewed := f.skew[0] != 0
	shares := min(math.Floor(limit)+1, float64(len(f.gateways)))
	for end := f.now + lasts; f.now < end; f.now += tick {
		f.deliver()
		from, to := f.callersAt(f.now)
		for i := from; i < to; i++ {
			for !f.suspended(i) && f.gateways[i].MaySend(endpointID, f.clock(i)) {
				f.gateways[i].Take(endpointID, f.clock(i))
				f.sent = append(f.sent, f.now)
			}
		}
		for i, l := range f.gateways {
			if f.suspended(i) {
				continue
			}
			for _, message := range l.OutgoingMessages(f.clock(i)) {
				f.send(i, message.To, message.ShareMessage)
			}
		}
		if held := f.heldShares(limit); !skewed && !f.allowOverlap && held > shares+1e-6 {
			t.Fatalf("%v shares of %v are held at %v", held, shares, f.now)
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

// usedFractionOf returns the fraction of a limit that was used.
func (f *lendingFleet) usedFractionOf(limit float64) float64 {
	return float64(len(f.sent)) / (limit * f.now.Seconds())
}

var fleetSizes = []int{2, 6, 30, 531}

func TestLentSharesStayWithinALimitAndUseHalfOfItWhereverCallersConnect(t *testing.T) {
	const lasts = 21 * time.Second
	for _, n := range fleetSizes {
		for where, callersAt := range map[string]func(time.Duration) (int, int){"at one": allAt(n / 2), "moving": eachSecond(n), "everywhere": everywhere(n)} {
			for _, limit := range []float64{0, 0.5, 1, 2, 4, 6, 50} {
				t.Run(fmt.Sprintf("%d gateways, %v a second, callers %s", n, limit, where), func(t *testing.T) {
					f := newLendingFleet(n, limit)
					f.callersAt = callersAt
					f.simulate(t, limit, lasts)
					assertWithin(t, f.fleet, limit)
					if limit > 0 {
						peak, _ := f.peakAndGap()
						t.Logf("used %.2f, at most %d in %v; messages per second: %.1f borrow requests, %.1f grants, %.1f refusals, %.1f returns", f.usedFractionOf(limit), peak, window,
							f.rate(Borrow), f.rate(Grant), f.rate(RefusedLent)+f.rate(RefusedInUse), f.rate(Return))
						NewWithT(t).Expect(f.usedFractionOf(limit)).To(BeNumerically(">=", 0.5))
					}
					assertFewBorrowRequests(t, f, limit, where == "everywhere")
				})
			}
		}
	}
}

func (f *lendingFleet) rate(k Kind) float64 { return float64(f.sentByKind[k]) / f.now.Seconds() }

// assertFewBorrowRequests checks the rate of borrow requests against the formula of the design: for one
// gateway that needs shares, or for a whole fleet.
func assertFewBorrowRequests(t *testing.T, f *lendingFleet, limit float64, all bool) {
	t.Helper()
	shares := min(math.Floor(limit)+1, float64(len(f.gateways)))
	bound := shares / minBorrowInterval.Seconds()
	if all { // A lender that uses its share receives requests 0, 0.2, 1, and 4.2 s into a period.
		bound = float64(len(f.gateways)) * shares * 4 / rotationPeriod.Seconds() * 1.3 // Three periods begin within 21 s.
		bound += shares / minBorrowInterval.Seconds()
	}
	NewWithT(t).Expect(f.rate(Borrow)).To(BeNumerically("<=", bound), "borrow requests per second")
}

func TestLentSharesStayWithinALimitUnderFailure(t *testing.T) {
	const lasts = 40 * time.Second
	for name, injectFault := range map[string]func(f *lendingFleet){
		"a third of all messages is lost": func(f *lendingFleet) { f.lossRate = 1.0 / 3 },
		"clocks differ": func(f *lendingFleet) {
			for i := range f.skew {
				f.skew[i] = time.Duration(i%3-1) * time.Second
			}
		},
		"borrowers are suspended": func(f *lendingFleet) {
			f.suspended = func(i int) bool {
				at, _ := f.callersAt(f.now)
				return i == at && f.now%(3*time.Second) > 1200*time.Millisecond && f.now%(3*time.Second) < 2700*time.Millisecond
			}
		},
		"lenders are suspended": func(f *lendingFleet) {
			f.suspended = func(i int) bool { return i%2 == 0 && f.now%(3*time.Second) > 1500*time.Millisecond }
		},
	} {
		for _, n := range []int{6, 30} {
			for where, callersAt := range map[string]func(time.Duration) (int, int){"at one": allAt(n / 2), "moving": eachSecond(n), "everywhere": everywhere(n)} {
				for _, limit := range limits {
					t.Run(fmt.Sprintf("%s, %d gateways, %v a second, callers %s", name, n, limit, where), func(t *testing.T) {
						f := newLendingFleet(n, limit)
						f.callersAt = callersAt
						injectFault(f)
						f.simulate(t, limit, lasts)
						assertWithin(t, f.fleet, limit)
					})
				}
			}
		}
	}
}

func TestLentSharesStayWithinALimitWhileTheFleetChanges(t *testing.T) {
	const n = 12
	for name, change := range map[string]func(f *lendingFleet){
		"gateways end and start": func(f *lendingFleet) {
			if f.now%(6*time.Second) < 3*time.Second {
				f.setGateways(f.names)
			} else {
				f.setGateways(f.names[:n/2])
			}
		},
		"a gateway restarts": func(f *lendingFleet) {
			if f.now%(5*time.Second) == 2*time.Second {
				i := int(f.now/time.Second) % n
				f.gateways[i] = New()
				f.gateways[i].SetGateways(f.names[i], f.names)
				f.gateways[i].Merge(f.report)
			}
		},
	} {
		for where, callersAt := range map[string]func(time.Duration) (int, int){"at one": allAt(1), "moving": eachSecond(n / 2)} {
			for _, limit := range limits {
				t.Run(fmt.Sprintf("%s, %v a second, callers %s", name, limit, where), func(t *testing.T) {
					f := newLendingFleet(n, limit)
					f.allowOverlap = true
					f.callersAt = func(now time.Duration) (int, int) {
						change(f)
						return callersAt(now)
					}
					f.simulate(t, limit, 40*time.Second)
					assertWithin(t, f.fleet, limit)
				})
			}
		}
	}
}

func TestTheSidesOfAPartitionLendOnlyTheirOwnShares(t *testing.T) {
	for _, limit := range limits {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			f := newLendingFleet(12, limit)
			f.allowOverlap = true
			f.callersAt = allAt(0)
			f.simulate(t, limit, 4*time.Second)
			for i, l := range f.gateways {
				l.SetGateways(f.names[i], f.names[i/6*6:i/6*6+6])
			}
			f.callersAt = func(now time.Duration) (int, int) { return int(now/tick) % 2 * 6, int(now/tick)%2*6 + 1 }
			f.simulate(t, limit, 25*time.Second)
			assertBounded(t, f.fleet, 2, limit)
			f.setGateways(f.names)
			f.now += window
			f.sent = nil
			f.simulate(t, limit, 25*time.Second)
			assertWithin(t, f.fleet, limit)
		})
	}
}

func TestALoweredLimitHoldsAtOnceWithBorrowedShares(t *testing.T) {
	f := newLendingFleet(30, 50)
	f.callersAt = allAt(0)
	f.simulate(t, 50, 5*time.Second)
	f.sent = nil
	f.reportLimit(true, 1)
	f.allowOverlap = true // Until the earlier leases have expired.
	f.simulate(t, 1, 15*time.Second)
	assertWithin(t, f.fleet, 1)
}

// pair returns a borrower, and a lender that owns the only share of a limit, at the start of a
// rotation period.
func pair(t *testing.T) (borrower, lender *Limits, now time.Time) {
	t.Helper()
	now = time.Unix(0, periodOf(start)*int64(rotationPeriod))
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

// borrow has a gateway without a token send a borrow request, and returns the request.
func borrow(t *testing.T, l *Limits, now time.Time) ShareMessage {
	t.Helper()
	NewWithT(t).Expect(l.MaySend(endpointID, now)).To(BeFalse())
	list := l.OutgoingMessages(now)
	NewWithT(t).Expect(list).To(HaveLen(1))
	NewWithT(t).Expect(list[0].Kind).To(Equal(Borrow))
	return list[0].ShareMessage
}

func grant(t *testing.T, lender, borrower *Limits, request ShareMessage, now time.Time) ShareMessage {
	t.Helper()
	p, ok := lender.ReceiveMessage(borrower.self, request, now)
	NewWithT(t).Expect(ok).To(BeTrue())
	NewWithT(t).Expect(p.Kind).To(Equal(Grant))
	return p
}

func TestAShareMovesWithItsTokensAndBack(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	p := grant(t, lender, borrower, borrow(t, borrower, now), now)
	g.Expect(p.Tokens).To(BeNumerically("~", 1))
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse())
	borrower.ReceiveMessage(lender.self, p, now)
	g.Expect(borrower.MaySend(endpointID, now)).To(BeTrue())
	now = now.Add(idleAfter)
	list := borrower.OutgoingMessages(now)
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Kind).To(Equal(Return))
	g.Expect(borrower.MaySend(endpointID, now)).To(BeFalse())
	lender.ReceiveMessage(borrower.self, list[0].ShareMessage, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeTrue())
	lender.Take(endpointID, now)
	lender.ReceiveMessage(borrower.self, list[0].ShareMessage, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse(), "a duplicate return counts once")
}

func TestALateDuplicateOrUnsolicitedGrantIsDropped(t *testing.T) {
	for name, play := range map[string]func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time{
		"late": func(borrower, lender *Limits, p ShareMessage, now time.Time) time.Time {
			now = now.Add(leaseTime)
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
			p := grant(t, lender, borrower, borrow(t, borrower, now), now)
			NewWithT(t).Expect(borrower.MaySend(endpointID, play(borrower, lender, p, now))).To(BeFalse())
		})
	}
}

// Guards against a return that is overtaken by a new borrow request and ends the lease granted to
// that request.
func TestAReturnOfAFormerLeaseIsDropped(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	borrower.ReceiveMessage(lender.self, grant(t, lender, borrower, borrow(t, borrower, now), now), now)
	now = now.Add(idleAfter)
	returned := borrower.OutgoingMessages(now)
	g.Expect(returned).To(HaveLen(1))
	p := grant(t, lender, borrower, borrow(t, borrower, now), now)
	lender.ReceiveMessage(borrower.self, returned[0].ShareMessage, now)
	g.Expect(lender.AvailableRate(endpointID, now)).To(BeZero())
	borrower.ReceiveMessage(lender.self, p, now)
	g.Expect(borrower.AvailableRate(endpointID, now)).To(BeNumerically(">", 0))
}

// Guards against a gateway whose share stays with a borrower although it has callers itself.
func TestALenderThatNeedsItsShareGetsItBackAfterTheLease(t *testing.T) {
	g := NewWithT(t)
	borrower, lender, now := pair(t)
	borrower.ReceiveMessage(lender.self, grant(t, lender, borrower, borrow(t, borrower, now), now), now)
	borrower.Take(endpointID, now)
	g.Expect(lender.MaySend(endpointID, now)).To(BeFalse())
	request := borrow(t, borrower, now.Add(leaseTime*6/10))
	refused, ok := lender.ReceiveMessage(borrower.self, request, now.Add(leaseTime*6/10))
	g.Expect(ok).To(BeTrue())
	g.Expect(refused.Kind).To(Equal(RefusedInUse))
	g.Expect(lender.AvailableRate(endpointID, now.Add(leaseTime))).To(BeNumerically(">", 0))
}

func TestALeaseEndsWithTheRotationPeriod(t *testing.T) {
	borrower, lender, now := pair(t)
	now = now.Add(rotationPeriod - leaseTime/4)
	NewWithT(t).Expect(grant(t, lender, borrower, borrow(t, borrower, now), now).LeaseTime).To(Equal(leaseTime / 4))
}

func TestHoldersAreTheOtherGatewaysWithAShare(t *testing.T) {
	names := newFleet(30).names
	for _, limit := range limits {
		for turn := range int64(20) {
			var want, got []string
			for _, name := range names {
				if name != names[0] && ShareOf(limit, positionOf(endpointID, turn, name, names), len(names)).Rate > 0 {
					want = append(want, name)
				}
			}
			for _, h := range ownersOf(endpointID, turn, limit, names[0], names) {
				got = append(got, h.name)
			}
			NewWithT(t).Expect(got).To(ConsistOf(want))
		}
	}
}
