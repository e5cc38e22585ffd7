// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// edit is a change of a file's text, each of another file.
type edit struct{ file, from, to string }

// build compiles the daemon, with edits as a build overlay.
func build(t *testing.T, edits ...edit) string {
	g := NewWithT(t)
	dir := t.TempDir()
	replace := map[string]string{}
	for i, e := range edits {
		file, err := filepath.Abs(e.file)
		g.Expect(err).NotTo(HaveOccurred())
		last := file
		if changed, ok := replace[file]; ok { // Edits of one file add up.
			last = changed
		}
		raw, err := os.ReadFile(last)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(raw)).To(ContainSubstring(e.from))
		replace[file] = filepath.Join(dir, fmt.Sprintf("changed-%d.go", i))
		g.Expect(os.WriteFile(replace[file], []byte(strings.Replace(string(raw), e.from, e.to, 1)), fileMode)).To(Succeed())
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, fileMode)).To(Succeed())
	args := []string{"build", "-o", filepath.Join(dir, "canvaspulleyd"), "-overlay", filepath.Join(dir, "overlay.json")}
	out, err := exec.Command("go", append(args, "../../cmd/canvaspulleyd")...).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), "%s", out)
	return filepath.Join(dir, "canvaspulleyd")
}

// short is a run for CI: no bound in time is checked, since the machine may be
// busy. Callers is how many there are at each gateway, 0 for the usual number.
func short(t *testing.T, seed uint64, set Kinds, callers int, daemon string) Config {
	cfg := DefaultConfig(seed)
	cfg.Kinds = set
	if callers > 0 {
		cfg.Callers = callers
	}
	cfg.Length, cfg.Daemon, cfg.Dir, cfg.CheckTiming, cfg.Log = 16*time.Second, daemon, t.TempDir(), false, t.Output()
	return cfg
}

// manyCallers is for what only some requests in a thousand meet.
const manyCallers = 8

// regressions are the seeds that found a fault in the product or in the soak,
// each with its cause.
var regressions = []struct {
	seed    uint64
	kinds   Kinds
	callers int // At each gateway; 0 for the usual number.
	cause   string
}{
	{246, FirstKinds, 0, "a second SIGTERM in a planned stop ended the process at once and cut requests off"},
	{121, FirstKinds, 0, "the soak judged runs by a move of the route that had not come yet"},
	{700210, SixthKinds, 0, "what a second life said before it was listed was forgotten as it was: it got a request 3 s after it had said that it leaves"},
	{9020, SeventhKinds, 0, "the soak held a gateway that it had suspended to its grace period"},
	{12089, SeventhKinds, 0, "callers were told nothing of an idle time below a second and went by a longer one, which their gateway did not know"},
	{9001, SeventhKinds, 0, "a shorter idle time closed connections that callers may still use"},
	{80001, AllKinds, 0, "the soak sent SIGHUP to a process that did not catch signals yet"},
	{82005, AllKinds, 0, "as before, by another trouble of its schedule"},
	{105275, SecondKinds, manyCallers, "a stream that was cut off was ended as whole: by the next endpoint's failure, and for HTTP/1.0 by an orderly end"},
}

func TestShortSoak(t *testing.T) {
	daemon := build(t)
	for _, tc := range regressions {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r, err := Run(context.Background(), short(t, tc.seed, tc.kinds, tc.callers, daemon))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Violations).To(BeEmpty())
			g.Expect(r.Served).To(BeNumerically(">", 0))
		})
	}
}

// TestTheSoakFindsFaults seeds faults into the product and shows that each is
// found.
func TestTheSoakFindsFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		edits   []edit
		finds   string // A regular expression.
		seed    uint64 // One whose trouble brings the fault out.
		kinds   Kinds
		callers int // At each gateway; 0 for the usual number.
	}{
		{
			name:  "a request that may have run is sent again",
			edits: []edit{{"../gateway/run.go", "if !q.mayResend() {\n\t\t\t\tq.concludeUnserved(last, false)\n\t\t\t\treturn\n\t\t\t}", ""}},
			finds: "may run once, ran at", seed: 24, callers: manyCallers,
		},
		{
			name:  "an older configuration stays in force",
			edits: []edit{{"../follow/view.go", "if c == nil || s.Config != nil && c.Version() <= s.Config.Version() {", "if c == nil || s.Config != nil {"}},
			finds: "after its key was taken away", seed: 1,
		},
		{
			name:  "a stream that was cut off ends as a whole one",
			edits: []edit{{"../gateway/stream.go", "return q.streamFailed(e, err)", "return q.endStream(e, x, resp)"}},
			finds: "a stream that ended as whole", seed: 13,
		},
		{
			// Both guards go: either keeps the failure of the next endpoint from ending
			// what the first one has begun.
			name: "a failure at the next endpoint ends a stream as a whole one",
			edits: []edit{
				{"../gateway/try.go", "if q.reply.begun() {\n\t\tif err := q.checkContinuation(", "if false {\n\t\tif err := q.checkContinuation("},
				{"../gateway/reply.go", "if p.state != replyUnsent {\n\t\treturn errReplyBegun\n\t}", ""},
			},
			finds: `a stream that ended as whole after event \d+ of 12.*, over (kept connections|Connection: close)`,
			seed:  105275, kinds: SecondKinds, callers: manyCallers,
		},
		{
			name:  "a broken answer ends in order for callers of HTTP/1.0",
			edits: []edit{{"../callerconn/callerconn.go", "if !ok || c.SetLinger(lingerReset) != nil {", "if !ok || c != nil {"}},
			finds: `a stream that ended as whole after event \d+ of 12, over HTTP/1.0`,
			seed:  105275, kinds: SecondKinds,
		},
		{
			// Both looks go: the one at the choice and the one right before the send.
			name: "an evacuated domain gets requests",
			edits: []edit{
				{"../gateway/choose.go", " && !s.Evacuated(e.Domain)", ""},
				{"../gateway/try.go", "if s.Evacuated(e.Domain) {", "if false {"},
			},
			finds: "after the evacuation of", seed: 268, kinds: FourthKinds,
		},
		{
			name:  "a request that ends endpoints is sent on and on",
			edits: []edit{{"../gateway/ended.go", "v, left := q.g.suspects.Judge(q.key, now)", "v, left := quarantine.Free, time.Duration(0)"}},
			finds: `request crashing-\S+ reached endpoints \d+ times more`, seed: 2013, kinds: FifthKinds,
		},
		{
			name:  "endpoints get more than the limits that they name",
			edits: []edit{{"../decide/throttle/throttle.go", "if e == nil || !e.report.Limited {\n\t\treturn true", "if e != nil || e == nil {\n\t\treturn true"}},
			finds: `named a limit of \S+ a second and got`, seed: 6004, kinds: SixthKinds, callers: manyCallers,
		},
		{
			name:  "endpoints that ask for rest get none",
			edits: []edit{{"../decide/backoff/backoff.go", "if p == nil || !proc.issued(p.requestedAt) || !now.Before(p.backoffUntil) {", "if p == nil || p != nil {"}},
			finds: `of rest at \S+ and got`, seed: 6014, kinds: SixthKinds, callers: manyCallers,
		},
		{
			name:  "endpoints whose answers say that they leave get more",
			edits: []edit{{"../decide/backoff/backoff.go", "return p != nil && proc.issued(p.leavingAt)", "return p != nil && false"}},
			finds: `after it said in an answer that it leaves`, seed: 6004, kinds: SixthKinds, callers: manyCallers,
		},
		{
			name: "a shorter idle time ends connections that callers may still use",
			edits: []edit{{"../keepalive/keepalive.go", "t.limits.Publish(idle.Limit{Version: version, Idle: limit}, now)\n",
				"t.limits.Publish(idle.Limit{Version: version, Idle: limit}, now)\n" +
					"for c := range t.conns { if c.state() == stateIdle && now.Sub(c.since) > limit+transitMargin { _ = c.TCPConn.Close() } }\n"}},
			finds: `its kept connection was closed with no answer \(`, seed: 9001, kinds: SeventhKinds,
		},
		{
			// Both guards go: connections are kept for a limit that is on its way, too.
			name: "callers are not told of idle times below a second",
			edits: []edit{
				{"../keepalive/keepalive.go", `w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(advertised/time.Second)))`,
					`if t.limits.Current().Idle >= minAdvertised { w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(advertised/time.Second))) }`},
				{"../keepalive/keepalive.go", "margin = max(transitMargin, t.cfg.PropagationDelay)", "margin = transitMargin"},
			},
			finds: `its kept connection was closed with no answer \(told 0s`, seed: 12089, kinds: SeventhKinds,
		},
		{
			name: "a planned stop ends connections that callers may still use",
			edits: []edit{{"../keepalive/keepalive.go", "case stopping && t.cfg.StopAtAdvertised && i.advertised > 0:\n\t\treturn idleTimeout{cause: Stopped, setting: \"planned stop, advertised to the caller\", timeout: i.advertised + transitMargin}",
				"case stopping && i.advertised > 0:\n\t\treturn idleTimeout{cause: Stopped, setting: \"planned stop, advertised to the caller\", timeout: transitMargin}"}},
			finds: `its kept connection was closed with no answer in a planned stop`, seed: 9031, kinds: SeventhKinds,
		},
		{
			name: "the first request after a change is closed with no answer",
			edits: []edit{
				{"../gateway/request.go", "\tdecided := q.runRecovered(", "\tif c := q.awaitConfig().Config; c != nil && c.Version() > newest.Swap(c.Version()) {\n\t\tpanic(http.ErrAbortHandler)\n\t}\n\tdecided := q.runRecovered("},
				{"../gateway/request.go", "\t\"slices\"\n", "\t\"slices\"\n\t\"sync/atomic\"\n"},
				{"../gateway/request.go", "// Handler returns", "var newest atomic.Uint64\n\n// Handler returns"},
			},
			finds: `cut, no answer at \S+, \S+ after it was sent, \S+ after a change, .*process of its connection: \[gateway-\d, pid \d+(, SIG\w+ at \S+)*(, alive|, ended)`, seed: 81001, kinds: AllKinds,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			cfg := short(t, tc.seed, tc.kinds, tc.callers, build(t, tc.edits...))
			cfg.CheckTiming = true
			r, err := Run(context.Background(), cfg)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(strings.Join(r.Violations, "\n")).To(MatchRegexp(tc.finds))
		})
	}
}

func TestSchedulesFollowFromTheirSeed(t *testing.T) {
	for set, want := range map[Kinds]int{FirstKinds: int(shiftLoad) + 1, SecondKinds: int(failAtRandom) + 1, ThirdKinds: int(startAgain) + 1, FourthKinds: int(evacuate) + 1, FifthKinds: int(crashing) + 1, SixthKinds: int(sayLeaving) + 1, SeventhKinds: int(changeIdle) + 1, AllKinds: int(killAround) + 1} {
		t.Run(fmt.Sprint(set), func(t *testing.T) {
			g := NewWithT(t)
			a, b := schedule(7, time.Minute, set), schedule(7, time.Minute, set)
			g.Expect(a).To(Equal(b))
			g.Expect(a).NotTo(Equal(schedule(8, time.Minute, set)))
			kinds := map[faultKind]bool{}
			for _, f := range a {
				kinds[f.kind] = true
				g.Expect(f.at).To(BeNumerically("<", time.Minute-calmTail))
				g.Expect(int(f.kind)).To(BeNumerically("<", want))
			}
			g.Expect(len(kinds)).To(BeNumerically(">=", want*3/4))
		})
	}
}

// TestOldSchedulesStay shows that seeds which showed a fault still make the
// same trouble: their schedules hash as they did when there were FirstKinds only.
func TestOldSchedulesStay(t *testing.T) {
	for seed, want := range map[uint64]uint64{
		246: 0xa0998c83876a187e, 121: 0xf6058a56382ea1ae, 24: 0x8d96407c6792cdb5, 1: 0x21b030733c7ea778, 13: 0xe114019545747128,
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := fnv.New64a()
			for _, f := range schedule(seed, 16*time.Second, FirstKinds) {
				fmt.Fprintln(h, f)
			}
			NewWithT(t).Expect(h.Sum64()).To(Equal(want))
		})
	}
}

func TestRandomFailuresFollowFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	draw := func(seed uint64, name string) (list []standin.Behaviour) {
		e := &endpointAt{name: name, seed: seed}
		g.Expect(e.behave("0")).To(Equal(standin.Serves))
		e.misbehave(time.Hour, 50, randomBehaviours...)
		for i := range 1000 {
			list = append(list, e.behave(fmt.Sprint(i)))
		}
		return list
	}
	a := draw(7, "model-1")
	g.Expect(a).To(Equal(draw(7, "model-1")))
	g.Expect(a).NotTo(Equal(draw(8, "model-1")))
	g.Expect(a).NotTo(Equal(draw(7, "model-2")))
	n := map[standin.Behaviour]int{}
	for _, b := range a {
		n[b]++
	}
	g.Expect(n[standin.Serves]).To(BeNumerically("~", 500, 60))
	for _, b := range randomBehaviours {
		g.Expect(n[b]).To(BeNumerically(">", 30))
	}
}

func TestSizesAreChecked(t *testing.T) {
	g := NewWithT(t)
	g.Expect(DefaultConfig(1).Check()).To(Succeed())
	faulty := DefaultConfig(1)
	faulty.Gateways, faulty.Ranks, faulty.Length = 0, 500, time.Second
	err := faulty.Check()
	g.Expect(err).To(MatchError(ContainSubstring("0 gateways")))
	g.Expect(err).To(MatchError(ContainSubstring("500 ranks")))
	g.Expect(err).To(MatchError(ContainSubstring("length 1s")))
}
