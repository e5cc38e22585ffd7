// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a key with its ends and the verdict on it.
type Suspect struct {
	Key         Key
	Part        bool
	SoundBefore bool
	Verdict     Verdict
	Remaining   time.Duration
	Ends        []SuspectEnd // Newest first.
}

// SuspectEnd is an end of a suspect.
type SuspectEnd struct {
	End
	Counted bool // It counts against the suspect.
}

// Suspects returns all keys with ends, those with the strictest verdict first and then those with the most
// ends that count.
func (b *History) Suspects(now time.Time) (list []Suspect) {
	b.attribute()
	for k, e := range b.entries {
		one := Suspect{Key: k, Part: e.part, SoundBefore: e.sound}
		one.Verdict, one.Remaining = e.judge(now)
		for _, r := range e.ends {
			one.Ends = append(one.Ends, SuspectEnd{r.End, slices.Contains(e.attributed, r)})
		}
		slices.SortFunc(one.Ends, func(x, y SuspectEnd) int { return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Endpoint, y.Endpoint)) })
		list = append(list, one)
	}
	slices.SortFunc(list, func(x, y Suspect) int {
		return cmp.Or(cmp.Compare(y.Verdict, x.Verdict), cmp.Compare(y.countedEnds(), x.countedEnds()), slices.Compare(x.Key[:], y.Key[:]))
	})
	return list
}

func (s Suspect) countedEnds() (n int) {
	for _, e := range s.Ends {
		if e.Counted {
			n++
		}
	}
	return n
}
