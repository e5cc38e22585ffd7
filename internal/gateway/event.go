// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// usualEventBytes is the size of an event up to which its memory counts as part of the request.
	usualEventBytes = 16 << 10
)

// byteOrderMark may precede the first line of a stream, and is not part of it.
var byteOrderMark = []byte("\xef\xbb\xbf")

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	raw     []byte // Valid until the next event is read.
	id      int64
	hasID   bool
	hasData bool
	weights string // Weights version from here on; "" if it does not change.
}

// marksPosition reports whether another run can continue the stream after the event. An event with
// data but without an id leaves the position unknown; one without data does not change it.
func (ev *event) marksPosition() bool { return ev.hasID || !ev.hasData }

// eventReader reads the events of a stream as the standard of server-sent events defines them: lines end
// with CRLF, LF or CR. How the bytes arrive, and the size of the buffer that they are read through, make
// no difference.
type eventReader struct {
	br      *bufio.Reader
	weights func(line []byte) (version string, ok bool) // Reads a weights version from a line.
	reserve func(n int) error                           // Reserves memory; a negative n releases it.

	buf      []byte // Memory of the last event.
	reserved int    // Bytes of buf that are reserved.
	afterCR  bool   // The last line ended with CR: if LF follows, it belongs to the line's end.
	begun    bool   // A line has been read.
}

// next reads one event. It returns io.EOF if the stream ended before the event, errPartialEvent if it
// ended within the event, and an error of reserve.
func (r *eventReader) next() (ev event, err error) {
	r.shrink()
	r.buf = r.buf[:0]
	for lines := 0; ; lines++ {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && (lines > 0 || len(bytes.TrimPrefix(r.buf, []byte{'\n'})) > 0) {
			return ev, errPartialEvent
		}
		if err != nil {
			return ev, err
		}
		if !r.begun {
			line, r.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		if len(line) == 0 {
			ev.raw = r.buf
			return ev, nil
		}
		if err := ev.readField(line, r.weights); err != nil {
			return ev, err
		}
	}
}

// readLine appends one line with its end to buf, and returns it without its end. After a CR, an LF that
// has not arrived yet is left to the next call, so that the line does not wait for it.
func (r *eventReader) readLine() (line []byte, err error) {
	if r.afterCR {
		following, err := r.br.Peek(1)
		if err != nil {
			return nil, err
		}
		if r.afterCR = false; following[0] == '\n' {
			if err = r.take(following); err != nil {
				return nil, err
			}
		}
	}
	for start := len(r.buf); ; {
		if r.br.Buffered() == 0 {
			if _, err = r.br.Peek(1); err != nil {
				return nil, err
			}
		}
		chunk, _ := r.br.Peek(r.br.Buffered()) // Never more than is buffered, so that it cannot fail.
		end := indexLineEnd(chunk)
		if end < 0 {
			if err = r.take(chunk); err != nil {
				return nil, err
			}
			continue
		}
		stop := len(r.buf) + end
		n := end + 1
		if chunk[end] == '\r' {
			if r.afterCR = n == len(chunk); !r.afterCR && chunk[n] == '\n' {
				n++
			}
		}
		if err = r.take(chunk[:n]); err != nil {
			return nil, err
		}
		return r.buf[start:stop], nil
	}
}

// indexLineEnd returns the index of the first LF or CR, -1 if there is none.
func indexLineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	if lf >= 0 {
		p = p[:lf]
	}
	if cr := bytes.IndexByte(p, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

// take moves a chunk, which br has buffered next, to buf.
func (r *eventReader) take(chunk []byte) error {
	if length := len(r.buf) + len(chunk); length > cap(r.buf) {
		if err := r.grow(length); err != nil {
			return err
		}
	}
	r.buf = append(r.buf, chunk...)
	_, err := r.br.Discard(len(chunk))
	return err
}

// grow makes room for an event of the given length at least. Memory for an unusually long event is
// reserved before it is allocated.
func (r *eventReader) grow(length int) error {
	if length > maxEventBytes {
		return errors.Newf("an event of more than %d bytes", maxEventBytes)
	}
	size := min(max(2*cap(r.buf), length), maxEventBytes)
	if size > usualEventBytes {
		if err := r.reserve(size - r.reserved); err != nil {
			return err
		}
		r.reserved = size
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return nil
}

// shrink gives up the memory of a long event after one of a usual size.
func (r *eventReader) shrink() {
	if len(r.buf) <= usualEventBytes {
		r.release()
	}
}

// release gives up the memory that is reserved.
func (r *eventReader) release() {
	if r.reserved > 0 {
		_ = r.reserve(-r.reserved) // Never fails.
		r.buf, r.reserved = nil, 0
	}
}

// nextBuffered reports whether the end of a further event is buffered. The rest of a partial one may take
// long to arrive, and the events before it must not wait for it.
func (r *eventReader) nextBuffered() bool {
	raw, _ := r.br.Peek(r.br.Buffered()) // Never more than is buffered, so that it cannot fail.
	return bytes.Contains(raw, []byte("\n\n")) || bytes.Contains(raw, []byte("\n\r\n")) || bytes.Contains(raw, []byte("\r\r"))
}

// readField parses one line of an event.
func (ev *event) readField(line []byte, weights func(line []byte) (version string, ok bool)) (err error) {
	if v, ok := weights(line); ok {
		ev.weights = v
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch string(name) {
	case "data":
		ev.hasData = true
	case "id":
		if ev.id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
			return errors.Wrap(err, "event id")
		}
		ev.hasID = true
	}
	return nil
}
