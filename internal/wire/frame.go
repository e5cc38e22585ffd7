// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package wire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Names of frames that are no tokens.
const (
	EventEnd          = "end"     // The last one of a stream that ended whole.
	EventLeaving      = "leaving" // The endpoint is leaving; the stream goes on, or may move.
	EventAlive        = "alive"   // No token yet, but the engine's steps go on.
	EventProcessEnded = "ended"   // The engine's process has ended; the data is an Ended in JSON.
)

// MaxFrameBytes is the largest server-sent event that is read, in bytes.
const MaxFrameBytes = 64 << 10

// EventID is the id of a server-sent event: which request, which endpoint made
// it and which token it holds.
type EventID struct {
	Request  string
	Endpoint string
	Offset   int // Number of the token, from 0.
}

// String formats id as request/endpoint/offset.
func (id EventID) String() string {
	return id.Request + "/" + id.Endpoint + "/" + strconv.Itoa(id.Offset)
}

// ParseEventID reads an id as a caller or an agent sends it.
func ParseEventID(text string) (id EventID, err error) {
	defer func() { err = errors.Wrapf(err, "event id %.80q", text) }()
	first, rest, ok := strings.Cut(text, "/")
	if !ok || first == "" || len(first) > 64 {
		return id, errors.New("no request id")
	}
	middle, last, ok := strings.Cut(rest, "/")
	if !ok || middle == "" || len(middle) > 255 {
		return id, errors.New("no endpoint")
	}
	n, err := strconv.Atoi(last)
	if err != nil || n < 0 {
		return id, errors.New("no offset")
	}
	return EventID{Request: first, Endpoint: middle, Offset: n}, nil
}

// Frame is one server-sent event.
type Frame struct {
	ID    string
	Event string
	Data  []byte // Valid until the next read.
}

// FrameReader reads server-sent events from a stream.
type FrameReader struct {
	r    *bufio.Reader
	data []byte
}

// NewFrameReader reads frames from r through a small buffer.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, 2048)}
}

// Next returns the next frame. A stream that stops inside a frame gives
// io.ErrUnexpectedEOF, one that stops between frames io.EOF.
func (fr *FrameReader) Next() (f Frame, err error) {
	fr.data = fr.data[:0]
	begun := false
	for {
		line, err := fr.r.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && (begun || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return f, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if begun {
				f.Data = bytes.TrimSuffix(fr.data, []byte("\n"))
				return f, nil
			}
			continue
		}
		begun = true
		if err := fr.field(&f, line); err != nil {
			return f, err
		}
	}
}

func (fr *FrameReader) field(f *Frame, line []byte) (err error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		f.ID = string(value)
	case "event":
		f.Event = string(value)
	case "data":
		fr.data = append(append(fr.data, value...), '\n')
	}
	if len(fr.data)-1 > MaxFrameBytes { // Without the last line break.
		return errors.Newf("frame is larger than %d bytes", MaxFrameBytes)
	}
	return nil
}

// AppendFrame appends the text of a frame to dst. Each line of data gets a field
// of its own, so that no text can look like another frame, such as an end.
func AppendFrame(dst []byte, id EventID, event string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id.Request...)
	dst = append(dst, '/')
	dst = append(dst, id.Endpoint...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, int64(id.Offset), 10)
	if event != "" {
		dst = append(dst, "\nevent: "...)
		dst = append(dst, event...)
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		dst = append(dst, "\ndata: "...)
		dst = append(dst, line...)
	}
	return append(dst, "\n\n"...)
}
