// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// stallInterval is how often the soak checks that its own process gets to run.
	stallInterval = 10 * time.Millisecond
	// minStall is the shortest delay of such a check that is recorded as a stall.
	minStall = 50 * time.Millisecond
)

// watchStalls records the periods in which the soak's own process did not get to run, until ctx is
// done. Faults and times that the soak observes are late in these periods.
func (l *ledger) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallInterval)
		now := time.Now()
		if now.Sub(last) >= stallInterval+minStall {
			l.do(func(l *ledger) { l.stalls = append(l.stalls, span{last.Add(stallInterval), now}) })
		}
		last = now
	}
}

// longestStall returns the longest stall of the soak's process that overlaps a period. The caller
// holds mu.
func (l *ledger) longestStall(s span) (longest time.Duration) {
	for _, stall := range l.stalls {
		if stall.from.Before(s.to) && stall.to.After(s.from) {
			longest = max(longest, stall.to.Sub(stall.from))
		}
	}
	return longest
}

// maxEvidence limits the log lines that are quoted for one request.
const maxEvidence = 12

// quoteLogs returns the lines of the gateways' logs about requests whose connections ended without an
// explanation: those with the id of the request or the address of its connection.
func (s *site) quoteLogs() (lines []string, err error) {
	var wanted []*request
	s.ledger.do(func(l *ledger) { wanted = append(wanted, l.unexplained...) })
	for _, r := range wanted {
		texts := []string{fmt.Sprintf("%q", r.id), fmt.Sprintf("%q", r.conn.LocalAddr())}
		found, err := grep(filepath.Join(s.dir, fmt.Sprintf("gateway-%d.log", r.gateway)), texts)
		if err != nil {
			return lines, err
		}
		if len(found) == 0 {
			found = []string{"no line"}
		}
		for _, line := range found[:min(len(found), maxEvidence)] {
			lines = append(lines, fmt.Sprintf("log of gateway %d about %s: %s", r.gateway, r.id, line))
		}
	}
	return lines, nil
}

// maxLogLine limits the length of a log line in bytes.
const maxLogLine = 1 << 20

// eachLine calls f for each line of a file.
func eachLine(file string, f func(line []byte)) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }() // The file is only read.
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		f(lines.Bytes())
	}
	return lines.Err()
}

// grep returns the lines of a file that contain one of the texts.
func grep(file string, texts []string) (found []string, err error) {
	err = eachLine(file, func(line []byte) {
		for _, text := range texts {
			if strings.Contains(string(line), text) {
				found = append(found, string(line))
				return
			}
		}
	})
	return found, err
}
