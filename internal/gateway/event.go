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

// readEvent reads one event; its raw bytes reuse the memory of buf. It returns io.EOF if the stream
// ended before the event, and errPartialEvent if it ended within the event.
func (g *Gateway) readEvent(br *bufio.Reader, buf []byte) (ev event, err error) {
	ev.raw = buf[:0]
	for {
		line, err := br.ReadSlice('\n')
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
