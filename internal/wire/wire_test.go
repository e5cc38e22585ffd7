// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func FuzzEventID(f *testing.F) {
	for _, s := range []string{"", "a/b/0", "a//1", "a/b/-1", "a/b/c/4", "/b/3", "a/b/99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(again).To(gomega.Equal(id))
	})
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("id: a/b/0\ndata: x\n\n"))
	f.Add([]byte("data: a\ndata: b\n\nevent: end\n\n"))
	f.Add([]byte("id: half"))
	f.Add([]byte(":\n\n\r\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewFrameReader(bytes.NewReader(raw))
		for range len(raw) + 1 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
		t.Fatal("more frames than bytes")
	})
}

func FuzzEnvelope(f *testing.F) {
	good, _ := json.Marshal(Envelope{ID: "a", Kind: KindCall, Endpoint: "e", Weight: 1})
	f.Add(string(good))
	f.Add(`{"id":1}`)
	f.Add(`{"id":"a","kind":"call","endpoint":"e","weight":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		e, err := ParseEnvelope(text)
		if err == nil && (e.ID == "" || e.Endpoint == "" || !(e.Weight > 0)) {
			t.Fatalf("accepted %+v", e)
		}
	})
}

func TestTruncatedFrameIsAnError(t *testing.T) {
	whole := string(AppendFrame(nil, EventID{"r", "e", 7}, EventEnd, []byte("{}")))
	for n := 1; n < len(whole); n++ {
		_, err := NewFrameReader(strings.NewReader(whole[:n])).Next()
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "after %d bytes", n)
	}
	fr, err := NewFrameReader(strings.NewReader(whole)).Next()
	g := gomega.NewWithT(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fr.Event).To(gomega.Equal(EventEnd))
	g.Expect(fr.ID).To(gomega.Equal("r/e/7"))
}

func TestDataWithLineBreaksIsOneFrame(t *testing.T) {
	for _, data := range []string{"a\nb", "a\n\nid: r/e/8\nevent: end\ndata: {}", "a\nevent: end"} {
		g := gomega.NewWithT(t)
		frames := NewFrameReader(bytes.NewReader(AppendFrame(nil, EventID{"r", "e", 7}, "", []byte(data))))
		fr, err := frames.Next()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(fr.Event).To(gomega.BeEmpty())
		g.Expect(string(fr.Data)).To(gomega.Equal(data))
		_, err = frames.Next()
		g.Expect(err).To(gomega.MatchError(io.EOF), "only one frame")
	}
}

func TestRefusalHasContentLength(t *testing.T) {
	long := strings.Repeat("x", 4000)
	for name, r := range map[string]*Refusal{
		"refusal":         RefuseUnknown(http.StatusBadGateway, long),
		"replayed answer": {Outcome: Done, Status: http.StatusOK, Replay: &Replay{ContentType: "text/plain", Body: []byte(long)}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := httptest.NewRecorder()
			r.Write(w)
			g.Expect(w.Header().Get("Content-Length")).To(gomega.Equal(strconv.Itoa(w.Body.Len())))
		})
	}
}

// A line that was longer than the reader's buffer failed its stream.
func TestLinesLongerThanTheBufferAreRead(t *testing.T) {
	for _, length := range []int{2047, 2048, 10_000, MaxFrameBytes - 1, MaxFrameBytes + 1, 4 * MaxFrameBytes} {
		g := gomega.NewWithT(t)
		data := bytes.Repeat([]byte("x"), length)
		text := AppendFrame(nil, EventID{"r", "e", 7}, "", data)
		fr := NewFrameReader(bytes.NewReader(append(text, text...)))
		for range 2 {
			f, err := fr.Next()
			if length > MaxFrameBytes {
				g.Expect(err).To(gomega.HaveOccurred())
				break
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(f.Data).To(gomega.Equal(data))
		}
	}
}
