// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// pieces returns at most size bytes a read.
type pieces struct {
	r    io.Reader
	size int
}

func (p pieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.size)]) }

// weightsField reads a weights version from a line.
func weightsField(line []byte) (version string, ok bool) {
	v, ok := bytes.CutPrefix(line, []byte("versions:"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimSpace(v)), true
}

func unlimited(int) error { return nil }

// parsedEvents returns the events of a stream that arrives in pieces of the given size and is read through a
// buffer of the given size, and the error that ends it.
func parsedEvents(stream string, piece, buffer int) (all []event, err error) {
	r := &eventReader{br: bufio.NewReaderSize(pieces{strings.NewReader(stream), piece}, buffer), weights: weightsField, reserve: unlimited}
	for {
		ev, err := r.next()
		if err != nil {
			return all, err
		}
		ev.raw = bytes.Clone(ev.raw)
		all = append(all, ev)
	}
}

// cuttings are sizes of pieces and of buffers. A buffer has at least 16 bytes.
var cuttings = []struct{ piece, buffer int }{{1, 16}, {2, 16}, {3, 17}, {7, 64}, {1 << 10, 16}, {4 << 10, 4 << 10}, {1 << 20, 4 << 10}, {1 << 20, 1 << 20}}

func withData(raw string) event { return event{raw: []byte(raw), hasData: true} }
func withID(raw string, id int64) event {
	return event{raw: []byte(raw), hasData: true, hasID: true, id: id}
}
func withoutData(raw string) event { return event{raw: []byte(raw)} }
func longEvent(id, length int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", length))
}

// The name of a field counted only if its whole line fitted into the read buffer, so that streams of long
// events began anew after a crash of their endpoint.
func TestEventsDoNotDependOnTheBuffer(t *testing.T) {
	long := strings.Repeat("x", 9_000)
	for _, tc := range []struct {
		name, stream string
		want         []event
		end          error
	}{
		{"nothing", "", nil, io.EOF},
		{"two events", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", []event{withID("id: 1\ndata: x\n\n", 1), withID("id: 2\ndata: y\n\n", 2)}, io.EOF},
		{"CRLF", "id: 1\r\ndata: x\r\n\r\ndata: y\r\n\r\n", []event{withID("id: 1\r\ndata: x\r\n\r\n", 1), withData("data: y\r\n\r\n")}, io.EOF},
		{"CR", "id: 1\rdata: x\r\rid: 2\rdata: y\r\r", []event{withID("id: 1\rdata: x\r\r", 1), withID("id: 2\rdata: y\r\r", 2)}, io.EOF},
		{"a long line of data", "id: 1\ndata: " + long + "\n\n", []event{withID("id: 1\ndata: "+long+"\n\n", 1)}, io.EOF},
		{"a line that ends with the buffer", "data: " + strings.Repeat("x", 4<<10-7) + "\n\ndata: y\n\n", []event{withData("data: " + strings.Repeat("x", 4<<10-7) + "\n\n"), withData("data: y\n\n")}, io.EOF},
		{"a line one byte longer than the buffer", "data: " + strings.Repeat("x", 4<<10-6) + "\n\ndata: y\n\n", []event{withData("data: " + strings.Repeat("x", 4<<10-6) + "\n\n"), withData("data: y\n\n")}, io.EOF},
		{"the id after long data", "data: " + long + "\nid: 7\n\n", []event{withID("data: "+long+"\nid: 7\n\n", 7)}, io.EOF},
		{"several lines of data", "data: x\ndata\ndata:\n\n", []event{withData("data: x\ndata\ndata:\n\n")}, io.EOF},
		{"comments", ": " + long + "\n\n:\n\n", []event{withoutData(": " + long + "\n\n"), withoutData(":\n\n")}, io.EOF},
		{"a name that begins as another", "database: 1\nids: 2\n\n", []event{withoutData("database: 1\nids: 2\n\n")}, io.EOF},
		{"a byte order mark", "\xef\xbb\xbfid: 3\ndata: x\n\n", []event{withID("\xef\xbb\xbfid: 3\ndata: x\n\n", 3)}, io.EOF},
		{"a mark later", "data: x\n\n\xef\xbb\xbfdata: y\n\n", []event{withData("data: x\n\n"), withoutData("\xef\xbb\xbfdata: y\n\n")}, io.EOF},
		{"a version of the weights", "versions: 4\ndata: x\n\n", []event{{raw: []byte("versions: 4\ndata: x\n\n"), hasData: true, weights: "4"}}, io.EOF},
		{"cut within a line", "data: x\n\ndata: y", []event{withData("data: x\n\n")}, errPartialEvent},
		{"cut after a line", "data: x\n\ndata: y\n", []event{withData("data: x\n\n")}, errPartialEvent},
		{"cut within long data", "data: " + long, nil, errPartialEvent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, c := range cuttings {
				g := NewWithT(t)
				all, err := parsedEvents(tc.stream, c.piece, c.buffer)
				g.Expect(err).To(MatchError(tc.end), "pieces of %d, buffer of %d", c.piece, c.buffer)
				g.Expect(all).To(HaveLen(len(tc.want)))
				got, want := "", ""
				for i := range all {
					got, want = got+string(all[i].raw), want+string(tc.want[i].raw)
					if !strings.Contains(tc.stream, "\r\n") { // An LF that arrives after its CR counts to the next event.
						g.Expect(string(all[i].raw)).To(Equal(string(tc.want[i].raw)))
					}
					all[i].raw = nil
					g.Expect(all[i]).To(Equal(event{id: tc.want[i].id, hasID: tc.want[i].hasID, hasData: tc.want[i].hasData, weights: tc.want[i].weights}), "event %d", i)
				}
				g.Expect(strings.TrimRight(got, "\n")).To(Equal(strings.TrimRight(want, "\n")), "the bytes are passed on")
			}
		})
	}
}

func TestEventOverTheLimitIsAnError(t *testing.T) {
	for _, length := range []int{maxEventBytes - 20, maxEventBytes} {
		g := NewWithT(t)
		all, err := parsedEvents(longEvent(1, length), 1<<20, 4<<10)
		if length < maxEventBytes {
			g.Expect(err).To(MatchError(io.EOF))
			g.Expect(all).To(HaveLen(1))
			continue
		}
		g.Expect(err).To(MatchError(ContainSubstring(strconv.Itoa(maxEventBytes))))
		g.Expect(all).To(BeEmpty())
	}
}

// The memory of a long event is reserved, at most twice its length, and goes back after the next event of
// a usual size.
func TestMemoryOfLongEventsGoesBack(t *testing.T) {
	g := NewWithT(t)
	stream := longEvent(1, 100) + longEvent(2, 300_000) + longEvent(3, 300_000) + longEvent(4, 100) + longEvent(5, 100)
	reserved, full := 0, false
	r := &eventReader{br: bufio.NewReader(strings.NewReader(stream)), weights: weightsField, reserve: func(n int) error {
		if full {
			return errBufferFull
		}
		reserved += n
		return nil
	}}
	for _, most := range []int{0, 600_100, 600_100, 600_100, 0} {
		_, err := r.next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reserved).To(BeNumerically("<=", most))
		g.Expect(cap(r.buf)).To(BeNumerically("<=", max(reserved, usualEventBytes)))
	}
	full = true
	r.br = bufio.NewReader(strings.NewReader(longEvent(6, 300_000)))
	_, err := r.next()
	g.Expect(errors.Is(err, errBufferFull)).To(BeTrue())
}

// A stream of long events continues after the last one that its endpoint has sent.
func TestStreamOfLongEventsIsResumed(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, crashingAfter(3), crashingAfter(3))
	status, _, body, err := s.ask("one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	want := ""
	for n := 1; n <= streamEvents; n++ {
		want += longEvent(n, 9_000)
	}
	g.Expect(body == want).To(BeTrue(), "%d bytes, %d ids", len(body), strings.Count(body, "id:"))
}

// crashingAfter is an endpoint whose streams of long events break off after the event with the given number
// when they have begun before it.
func crashingAfter(last int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerLast)) // No id is the start.
		beginStream(w, r)
		for n := from + 1; n <= streamEvents; n++ {
			if n == last+1 && from < last {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, longEvent(n, 9_000)) // An error means that the gateway has left.
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// FuzzEventReader checks that events do not depend on how the same bytes are cut.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n", 1, 16)
	f.Add("\xef\xbb\xbfdata: x\r\n\r\nid: 2\rdata\r\r", 3, 20)
	f.Add(": c\n\nversions: 3\ndata: "+strings.Repeat("x", 100)+"\n\n", 5, 16)
	f.Fuzz(func(t *testing.T, stream string, piece, buffer int) {
		want, wantErr := parsedEvents(stream, 1<<20, 1<<20)
		got, err := parsedEvents(stream, 1+max(piece, -piece, 0)%64, 16+max(buffer, -buffer, 0)%64)
		g := NewWithT(t)
		g.Expect(got).To(HaveLen(len(want)))
		for i := range got {
			got[i].raw, want[i].raw = nil, nil
		}
		g.Expect(got).To(Equal(want))
		g.Expect(fmt.Sprint(err)).To(Equal(fmt.Sprint(wantErr)))
	})
}

// BenchmarkEvents measures the reading of one event.
func BenchmarkEvents(b *testing.B) {
	for _, length := range []int{64, 8 << 10, 900 << 10} {
		b.Run(fmt.Sprint(length, " bytes"), func(b *testing.B) {
			stream := bytes.Repeat([]byte(longEvent(1, length)), max(1, (4<<20)/length))
			in := bytes.NewReader(stream)
			br := bufio.NewReaderSize(in, 4<<10)
			r := &eventReader{br: br, weights: weightsField, reserve: unlimited}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.next(); err != nil {
					in.Reset(stream)
					br.Reset(in)
				}
			}
		})
	}
}
