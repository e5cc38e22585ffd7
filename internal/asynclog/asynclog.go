// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package asynclog writes the structured log of a process to one stream. Logging never blocks the
// caller, and the volume is bounded. Each class of lines has a queue capacity and a rate limit
// of its own, so that no class crowds out another; dropped lines are counted.
package asynclog

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
	// maxQueuedPerClass is the maximum number of lines of a class that are queued for writing.
	maxQueuedPerClass = 1024
	// defaultLinesPerSecond is the rate limit of each class without a limit of its own.
	defaultLinesPerSecond = 400
	// defaultFlushInterval is how long lines that are not urgent are collected for one write.
	defaultFlushInterval = 50 * time.Millisecond
	// maxWriteBytes is the size from which no more lines are added to a write.
	maxWriteBytes = 64 << 10
)

// Messages whose lines form classes of their own.
const (
	requestMessage = "request"
	auditMessage   = "audit"
)

// Log writes queued lines to its stream in the background.
type Log struct {
	out           io.Writer
	queue         *ring.Queue[line] // Its capacity is that of all classes together.
	urgent        chan struct{}     // Holds a value once an urgent line is queued; it may be the process's last line.
	flushInterval time.Duration     // How long lines that are not urgent are collected.
	dropped       atomic.Int64

	served, failed *lineClass // Lines on requests: below the warning level, and warnings.
	audit          *lineClass // The audit trail, which has no rate limit.
	info, warnings *lineClass // All other lines below the error level.
	errors         *lineClass
}

// line is an encoded line that is queued.
type line struct {
	text  []byte
	class *lineClass
}

// lineClass limits the rate and the number of queued lines of one kind.
type lineClass struct {
	maxPerSecond  int64 // 0 for no limit.
	urgent        bool  // Its lines are written immediately.
	queued        atomic.Int64
	currentSecond atomic.Int64 // Unix time of the second to which linesInSecond applies.
	linesInSecond atomic.Int64
}

// admit counts a line that is to be queued; it reports false when the class is at one of its limits.
func (c *lineClass) admit() bool {
	now := time.Now().Unix()
	if c.currentSecond.Swap(now) != now {
		c.linesInSecond.Store(0)
	}
	if c.linesInSecond.Add(1) > c.maxPerSecond && c.maxPerSecond > 0 {
		return false
	}
	if c.queued.Add(1) > maxQueuedPerClass {
		c.queued.Add(-1)
		return false
	}
	return true
}

// New returns a logger and the Log that writes its lines to out. At most servedPerSecond lines
// per second are written on successful requests.
func New(out io.Writer, level string, servedPerSecond int) (log *zap.Logger, l *Log, err error) {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.TimeEncoder(func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendInt64(t.UnixMilli())
	})
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return NewWithEncoder(out, level, servedPerSecond, zapcore.NewJSONEncoder(cfg))
}

// NewWithEncoder is like New, but encodes lines with enc.
func NewWithEncoder(out io.Writer, level string, servedPerSecond int, enc zapcore.Encoder) (log *zap.Logger, l *Log, err error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	l = &Log{
		out: out, urgent: make(chan struct{}, 1), flushInterval: defaultFlushInterval,
		served:   &lineClass{maxPerSecond: int64(servedPerSecond)},
		failed:   &lineClass{maxPerSecond: defaultLinesPerSecond, urgent: true},
		audit:    &lineClass{urgent: true},
		info:     &lineClass{maxPerSecond: defaultLinesPerSecond},
		warnings: &lineClass{maxPerSecond: defaultLinesPerSecond, urgent: true},
		errors:   &lineClass{maxPerSecond: defaultLinesPerSecond, urgent: true},
	}
	l.queue = ring.NewQueue[line](maxQueuedPerClass * len(l.classes()))
	return zap.New(core{minLevel, enc, l}), l, nil
}

func (l *Log) classes() []*lineClass {
	return []*lineClass{l.served, l.failed, l.audit, l.info, l.warnings, l.errors}
}

// classOf returns the class of the line of an entry.
func (l *Log) classOf(e zapcore.Entry) *lineClass {
	warning := e.Level >= zapcore.WarnLevel
	switch {
	case e.Level >= zapcore.ErrorLevel:
		return l.errors
	case e.Message == requestMessage && warning:
		return l.failed
	case e.Message == requestMessage:
		return l.served
	case e.Message == auditMessage:
		return l.audit
	case warning:
		return l.warnings
	}
	return l.info
}

// core is a zapcore.Core that queues entries for writing or drops them; it never blocks.
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
	class := c.l.classOf(e)
	if !class.admit() {
		c.l.dropped.Add(1)
		return nil
	}
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		class.queued.Add(-1)
		c.l.dropped.Add(1)
		return err
	}
	c.l.queue.Offer(line{bytes.Clone(buf.Bytes()), class}) // Never full: admit has reserved the space.
	buf.Free()
	if class.urgent {
		select {
		case c.l.urgent <- struct{}{}:
		default: // A flush is already requested.
		}
	}
	return nil
}

// Sync does nothing: Run writes the lines.
func (c core) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx ends, and then those that are still queued. A slow reader of the
// stream blocks it, also after ctx has ended.
func (l *Log) Run(ctx context.Context) error {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			for l.queue.Len() > 0 {
				buf = l.appendQueued(buf[:0])
				l.write(buf)
			}
			return nil
		case ln := <-l.queue.Out():
			buf = ln.appendTo(buf[:0])
			l.awaitFlush(ctx)
			buf = l.appendQueued(buf)
			l.write(buf)
		}
	}
}

// appendTo appends the line to buf and removes it from the count of queued lines.
func (ln line) appendTo(buf []byte) []byte {
	ln.class.queued.Add(-1)
	return append(buf, ln.text...)
}

// awaitFlush waits for the flush interval, an urgent line or the end of ctx.
func (l *Log) awaitFlush(ctx context.Context) {
	timer := time.NewTimer(l.flushInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.urgent:
	}
}

// appendQueued appends queued lines to buf until it holds maxWriteBytes or the queue is empty.
func (l *Log) appendQueued(buf []byte) []byte {
	for len(buf) < maxWriteBytes {
		select {
		case ln := <-l.queue.Out():
			buf = ln.appendTo(buf)
		default:
			return buf
		}
	}
	return buf
}

// write writes buf to the stream. An error, such as that of a closed stream, cannot be logged
// anywhere, so the lines that were not written are counted as dropped.
func (l *Log) write(buf []byte) {
	if n, err := l.out.Write(buf); err != nil {
		l.dropped.Add(int64(bytes.Count(buf[n:], []byte("\n"))))
	}
}
