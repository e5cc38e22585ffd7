// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	raw     []byte
	id      int64
	hasID   bool
	hasData bool
	weights string // Weights version from here on; "" if it does not change.
}

// marksPosition reports whether another run can continue the stream after the event. An event with
// data but without an id leaves the position unknown; one without data does not change it.
func (ev *event) marksPosition() bool { return ev.hasID || !ev.hasData }

// usualEventBytes is the size of an event up to which its memory counts as part of the request.
const usualEventBytes = 16 << 10

// growEvent returns buf with room for n more bytes. Memory for an unusually long event is reserved
// before it is allocated.
func growEvent(buf []byte, n int, reserve func(n int) error) (grown []byte, err error) {
	if len(buf)+n <= cap(buf) {
		return buf, nil
	}
	size := max(2*cap(buf), len(buf)+n)
	if size > usualEventBytes {
		if err = reserve(size); err != nil {
			return buf, err
		}
	}
	return append(make([]byte, 0, size), buf...), nil
}

// readEvent reads one event; its raw bytes reuse the memory of buf. It returns io.EOF if the stream
// ended before the event, errPartialEvent if it ended within the event, and an error of reserve.
func (g *Gateway) readEvent(br *bufio.Reader, buf []byte, reserve func(n int) error) (ev event, err error) {
	ev.raw = buf[:0]
	for {
		line, err := br.ReadSlice('\n')
		var growErr error
		if ev.raw, growErr = growEvent(ev.raw, len(line), reserve); growErr != nil {
			return ev, growErr
		}
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) < maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, errPartialEvent
		}
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEventBytes {
			return ev, errors.Newf("an event longer than %d bytes", maxEventBytes)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if err := g.readField(&ev, line); err != nil {
			return ev, err
		}
	}
}

// readField parses one line of an event.
func (g *Gateway) readField(ev *event, line []byte) (err error) {
	if v, ok := g.codec.EventWeights(line); ok {
		ev.weights = v
		return nil
	}
	if bytes.HasPrefix(line, []byte("data:")) {
		ev.hasData = true
		return nil
	}
	v, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return nil
	}
	if ev.id, err = strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err != nil {
		return errors.Wrap(err, "event id")
	}
	ev.hasID = true
	return nil
}
