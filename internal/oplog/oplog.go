// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package oplog is the process's log: structured lines on one stream, bounded
// in volume, that never hold up who writes them. Lines are of classes, and none
// takes the room or the rate of another; what was left out is counted.
package oplog

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/canvaspulley/canvaspulley/internal/ring"
)

const (
	// room is how many lines of a class may wait to be written.
	room = 1024
	// otherPerSecond bounds each class but those with a rate of their own.
	otherPerSecond = 400
	// flushEvery is how long lines that are not urgent are gathered into one write.
	flushEvery = 50 * time.Millisecond
	// batch bounds one write.
	batch = 64 << 10
)

// Messages whose lines have a class of their own.
const (
	requestMessage = "request"
	auditMessage   = "audit"
)

// Log writes lines in the background.
type Log struct {
	out     io.Writer
	lines   *ring.Queue[line] // It has room for all that the classes may have waiting.
	urgent  chan struct{}     // Holds a value once an urgent line waits: it may be the process's last word.
	every   time.Duration     // How long other lines are gathered.
	dropped atomic.Int64

	served, failed *class // Lines on requests, below warnings and from these on.
	audit          *class // A trail: no rate bounds it.
	info, warnings *class // All other lines below errors.
	errors         *class
}

// line is one line that waits.
type line struct {
	text []byte
	of   *class
}

// class bounds lines of one kind.
type class struct {
	perSecond int64 // 0 for no bound.
	urgent    bool  // Its lines are written at once.
	waiting   atomic.Int64
	second    atomic.Int64
	inSecond  atomic.Int64
}

// admits counts a line that is to wait; it reports false for one too many.
func (c *class) admits() bool {
	now := time.Now().Unix()
	if c.second.Swap(now) != now {
		c.inSecond.Store(0)
	}
	if c.inSecond.Add(1) > c.perSecond && c.perSecond > 0 {
		return false
	}
	if c.waiting.Add(1) > room {
		c.waiting.Add(-1)
		return false
	}
	return true
}

// New returns a logger and what writes its lines to out. Of lines on requests that went well at
// most perSecond are written a second.
func New(out io.Writer, level string, perSecond int) (log *zap.Logger, l *Log, err error) {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.TimeEncoder(func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendInt64(t.UnixMilli())
	})
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return NewWithEncoder(out, level, perSecond, zapcore.NewJSONEncoder(cfg))
}

// NewWithEncoder is New with an encoder of the lines.
func NewWithEncoder(out io.Writer, level string, perSecond int, enc zapcore.Encoder) (log *zap.Logger, l *Log, err error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	l = &Log{
		out: out, urgent: make(chan struct{}, 1), every: flushEvery,
		served:   &class{perSecond: int64(perSecond)},
		failed:   &class{perSecond: otherPerSecond, urgent: true},
		audit:    &class{urgent: true},
		info:     &class{perSecond: otherPerSecond},
		warnings: &class{perSecond: otherPerSecond, urgent: true},
		errors:   &class{perSecond: otherPerSecond, urgent: true},
	}
	l.lines = ring.NewQueue[line](room * len(l.classes()))
	return zap.New(core{at, enc, l}), l, nil
}

func (l *Log) classes() []*class {
	return []*class{l.served, l.failed, l.audit, l.info, l.warnings, l.errors}
}

// classOf returns the class of an entry's line.
func (l *Log) classOf(e zapcore.Entry) *class {
	bad := e.Level >= zapcore.WarnLevel
	switch {
	case e.Level >= zapcore.ErrorLevel:
		return l.errors
	case e.Message == requestMessage && bad:
		return l.failed
	case e.Message == requestMessage:
		return l.served
	case e.Message == auditMessage:
		return l.audit
	case bad:
		return l.warnings
	}
	return l.info
}

// core has entries wait to be written, or leaves them out; it never waits.
type core struct {
	zapcore.LevelEnabler
	enc zapcore.Encoder
	l   *Log
}

// With implements zapcore.Core.
func (c core) With(fields []zapcore.Field) zapcore.Core {
	c.enc = c.enc.Clone()
	for _, f := range fields {
		f.AddTo(c.enc)
	}
	return c
}

// Check implements zapcore.Core.
func (c core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	of := c.l.classOf(e)
	if !of.admits() {
		c.l.dropped.Add(1)
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		of.waiting.Add(-1)
		c.l.dropped.Add(1)
		return err
	}
	c.l.lines.Offer(line{bytes.Clone(buf.Bytes()), of}) // There is room.
	buf.Free()
	if of.urgent {
		select {
		case c.l.urgent <- struct{}{}:
		default: // They are to be written already.
		}
	}
	return nil
}

// Sync does nothing: Run writes.
func (c core) Sync() error { return nil }

// Dropped returns how many lines were left out.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends and then those that still wait. It waits for whoever reads
// the stream, also then.
func (l *Log) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			for l.lines.Len() > 0 {
				buf = l.gather(buf[:0])
				l.write(buf)
			}
			return nil
		case one := <-l.lines.Out():
			buf = one.appendTo(buf[:0])
			l.await(ctx)
			buf = l.gather(buf)
			l.write(buf)
		}
	}
}

// appendTo appends the line, which waits no longer.
func (one line) appendTo(buf []byte) []byte {
	one.of.waiting.Add(-1)
	return append(buf, one.text...)
}

// await waits until lines are to be written.
func (l *Log) await(ctx context.Context) {
	timer := time.NewTimer(l.every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.urgent:
	}
}

// gather appends the lines that wait.
func (l *Log) gather(buf []byte) []byte {
	for len(buf) < batch {
		select {
		case one := <-l.lines.Out():
			buf = one.appendTo(buf)
		default:
			return buf
		}
	}
	return buf
}

// write has nobody to tell when the stream is closed; the lines count as left
// out.
func (l *Log) write(buf []byte) {
	if n, err := l.out.Write(buf); err != nil {
		l.dropped.Add(int64(bytes.Count(buf[n:], []byte("\n"))))
	}
}
