// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/asynclog"
	"github.com/canvaspulley/canvaspulley/internal/build"
	"github.com/canvaspulley/canvaspulley/internal/inifile"
	"github.com/canvaspulley/canvaspulley/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// options is the daemon's command line.
type options struct {
	Config string `long:"config" required:"yes" value-name:"FILE.ini" description:"settings of this process"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	signalCh, _ := catchSignals() // Caught until the process is gone, even after its last log line.
	role, err := settings.ReadRole(o.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if role == string(settings.Gateway) || role == string(settings.Sidecar) {
		return mainFleet(o, signalCh, stderr)
	}
	set, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if o.Check {
		return exitOK
	}
	log, lines, err := newLog(stderr, set.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, inifile.Problem{File: o.Config, Section: "log", Key: "level", Text: err.Error()})
		return exitSettings
	}
	defer startLogWriter(lines)()
	log.Info("start", append(build.Read().Fields(), zap.String("role", role), zap.Int("pid", os.Getpid()))...)
	if err := run(set, signalCh, log); err != nil {
		log.Error("stopped", zap.Error(err), zap.Int64("lines-left-out", lines.Dropped()))
		return exitFailed
	}
	log.Info("stopped", zap.Int64("lines-left-out", lines.Dropped()))
	return exitOK
}

// mainFleet runs a gateway or a sidecar and returns the exit code.
func mainFleet(o options, signalCh <-chan os.Signal, stderr io.Writer) int {
	set, err := settings.LoadFleet(o.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if o.Check {
		return exitOK
	}
	if err := runFleet(o.Config, set, signalCh, os.Stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// requestLogPerSecond limits the log lines per second about successful requests.
const requestLogPerSecond = 400

// logFlushTimeout limits how long a process that has ended waits for the reader of its log. It is
// less than what is left of stopMargin after endAnswerTime.
const logFlushTimeout = 300 * time.Millisecond

// startLogWriter writes log lines in the background until the returned function is called. That
// function writes the lines that are still queued, unless the reader takes longer than
// logFlushTimeout.
func startLogWriter(lines *asynclog.Log) (cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	var writing errgroup.Group
	writing.Go(func() error {
		defer close(written)
		return lines.Run(ctx)
	})
	return func() {
		cancel()
		select {
		case <-written:
		case <-time.After(logFlushTimeout): // Nobody reads the log; the process ends anyway.
		}
	}
}

// newLog returns the log of an entry or an agent, and the writer of its lines to out.
func newLog(out io.Writer, level string) (*zap.Logger, *asynclog.Log, error) {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log, lines, err := asynclog.NewWithEncoder(out, level, requestLogPerSecond, enc)
	if err != nil {
		return nil, nil, err
	}
	return log.WithOptions(zap.AddCaller(), zap.AddStacktrace(zap.ErrorLevel)), lines, nil
}

// run serves until a planned stop. The first SIGTERM or SIGINT begins it. A further SIGTERM has no
// effect, a further SIGINT ends the process immediately. A SIGHUP has no effect: settings are read
// at the start, and certificates whenever they change.
func run(set *settings.Settings, signalCh <-chan os.Signal, log *zap.Logger) (err error) {
	d, cleanup, err := New(set, log)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return handleSignals(ctx, signalCh, log, d.Node().Leave) })
	g.Go(func() error {
		defer cancel()
		return d.Run(ctx)
	})
	return g.Wait()
}

// handleSignals calls leave at the first signal to stop, and returns an error at a further SIGINT,
// which comes from a person. It ignores a further SIGTERM: a tool that stops instances one by one
// may send it twice, and no request may be cut off.
func handleSignals(ctx context.Context, signalCh <-chan os.Signal, log *zap.Logger, leave func(cause string)) error {
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signalCh:
			switch {
			case s == syscall.SIGHUP:
				log.Info("settings are read at the next start", zap.String("signal", s.String()))
			case stopping && s == syscall.SIGINT:
				return errors.Newf("%s during a planned stop: requests in flight were cut off", s)
			case stopping:
				log.Info("already stopping", zap.String("signal", s.String()))
			default:
				stopping = true
				leave(s.String())
			}
		}
	}
}
