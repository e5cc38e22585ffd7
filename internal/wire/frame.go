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

// Event names of frames that hold no token.
const (
	EventEnd          = "end"     // Last frame of a complete stream.
	EventLeaving      = "leaving" // The endpoint is leaving; the stream continues or may move to another endpoint.
	EventAlive        = "alive"   // No new token yet, but the engine keeps making steps.
	EventProcessEnded = "ended"   // The engine's process has ended; the data is an Ended in JSON.
)

// MaxFrameBytes is the largest server-sent event that is read.
const MaxFrameBytes = 64 << 10

// maxLineBytes is the length of a line that holds a frame of MaxFrameBytes with its field's name.
const maxLineBytes = MaxFrameBytes + 256

// EventID is the id of a server-sent event: the request, the endpoint that produced the event, and
// the token that it holds.
type EventID struct {
	Request  string
	Endpoint string
	Offset   int // Index of the token, from 0.
}

// String formats id as request/endpoint/offset.
func (id EventID) String() string {
	return id.Request + "/" + id.Endpoint + "/" + strconv.Itoa(id.Offset)
}

// ParseEventID parses an id sent by a caller or an agent.
func ParseEventID(text string) (id EventID, err error) {
	defer func() { err = errors.Wrapf(err, "event id %.80q", text) }()
	request, rest, ok := strings.Cut(text, "/")
	if !ok || request == "" || len(request) > 64 {
		return id, errors.New("no request id")
	}
	endpoint, offset, ok := strings.Cut(rest, "/")
	if !ok || endpoint == "" || len(endpoint) > 255 {
		return id, errors.New("no endpoint")
	}
	n, err := strconv.Atoi(offset)
	if err != nil || n < 0 {
		return id, errors.New("no offset")
	}
	return EventID{Request: request, Endpoint: endpoint, Offset: n}, nil
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
	line []byte // Holds a line that is longer than the buffer of r.
}

// NewFrameReader returns a FrameReader that reads from r through a small buffer.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, 2048)}
}

// Next returns the next frame. A stream that ends inside a frame results in io.ErrUnexpectedEOF,
// one that ends between frames in io.EOF.
func (fr *FrameReader) Next() (f Frame, err error) {
	fr.data = fr.data[:0]
	inFrame := false
	for {
		line, err := fr.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (inFrame || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return f, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if inFrame {
				f.Data = bytes.TrimSuffix(fr.data, []byte("\n"))
				return f, nil
			}
			continue
		}
		inFrame = true
		if err := fr.parseField(&f, line); err != nil {
			return f, err
		}
	}
}

// readLine returns the next line with its end. The line may be longer than the buffer, but not longer than
// the longest line of a frame. It is valid until the next read.
func (fr *FrameReader) readLine() (line []byte, err error) {
	line, err = fr.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	fr.line = fr.line[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if fr.line = append(fr.line, line...); len(fr.line) > maxLineBytes {
			return nil, errors.Newf("line is longer than %d bytes", maxLineBytes)
		}
		line, err = fr.r.ReadSlice('\n')
	}
	fr.line = append(fr.line, line...)
	return fr.line, err
}

func (fr *FrameReader) parseField(f *Frame, line []byte) (err error) {
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
	if len(fr.data)-1 > MaxFrameBytes { // Excluding the last line break.
		return errors.Newf("frame is larger than %d bytes", MaxFrameBytes)
	}
	return nil
}

// AppendFrame appends the text of a frame to dst. Each line of data becomes a data field of its
// own, so that no data can be read as another frame, such as the end of the stream.
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
