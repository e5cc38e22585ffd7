// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

const (
	// endCheckTimeout bounds the check whether the endpoint's process has ended. The process
	// runs on the same instance.
	endCheckTimeout = 200 * time.Millisecond
	// sameEndWindow is the time in which aborted answers are attributed to the same end of the
	// process: its requests are all aborted together, and a restart takes longer than that.
	sameEndWindow = time.Second
)

// detectEnd returns the end of the endpoint's process. It returns nil if the process is still running, if
// that cannot be determined, or while this agent admits nothing. The agent does not know when a process
// started: the incarnation in the result contains the time at which its end was detected.
func (a *Agent) detectEnd() *wire.Ended {
	var hasEnded func(ctx context.Context) bool
	if a.service != nil {
		hasEnded = a.service.Ended
	} else {
		hasEnded = a.engine.Ended
	}
	if hasEnded == nil || a.node.Refusal() != nil { // No request is to blame for a planned stop.
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	if !hasEnded(ctx) {
		return nil
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.endedAt) > sameEndWindow {
		a.endedAt = now
	}
	return &wire.Ended{Incarnation: a.node.Settings().Endpoint + "@" + strconv.FormatInt(a.endedAt.UnixMilli(), 10)}
}

// writeEnded reports to the entry that the engine's process has ended, before the stream is aborted.
func (f *frameWriter) writeEnded(offset int, e *wire.Ended) {
	if e == nil {
		return
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return // An Ended can always be encoded.
	}
	_ = f.write(offset, wire.EventProcessEnded, raw) // The stream is aborted in any case.
}
