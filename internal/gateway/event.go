// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// event is one whole event of a stream, with the blank line that ends it.
type event struct {
	raw     []byte
	id      int64
	hasID   bool
	hasData bool
	weights string // Version of the weights from here on; "" when it does not change.
}

// placed reports whether an event leaves a place behind it at which another run can
// go on.
func (ev *event) placed() bool { return ev.hasID || !ev.hasData }

// readEvent reads one event into buf, io.EOF when the stream ended before it.
func (g *Gateway) readEvent(br *bufio.Reader, buf []byte) (ev event, err error) {
	ev.raw = buf[:0]
	for {
		line, err := br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, errPartial
		}
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEvent {
			return ev, errors.Newf("an event of more than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if err := g.readField(&ev, line); err != nil {
			return ev, err
		}
	}
}

// readField takes in one line of an event.
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
