// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// cursor is the position up to which a caller has received a stream. The zero value is the
// beginning.
type cursor struct {
	id        int64
	idKnown   bool   // id is that of the last event.
	idMissing bool   // An event without an id followed id, so the position is unknown.
	idsSkip   bool   // Ids of one run rose by more than one, so that a gap is no error.
	weights   string // Weights version that produced the events; "" if not known.
}

// Reasons why an event does not continue after the caller's last one.
var (
	errDuplicateEvent = errors.New("an event was repeated")
	errEventGap       = errors.New("events are missing")
	errEventWithoutID = errors.New("the first event has no id")
)

// cursorFrom returns the cursor of a caller that names the last event it has received.
func cursorFrom(lastEvent string) (c cursor) {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil {
		return cursor{} // No id, or one whose order is known to endpoints only.
	}
	return cursor{id: id, idKnown: true}
}

// resumable reports whether another run may continue after the last event, or start if there was
// none.
func (c *cursor) resumable() bool { return !c.idMissing }

// lastEvent returns the id after which a run continues; "" for the beginning.
func (c *cursor) lastEvent() string {
	if !c.idKnown {
		return ""
	}
	return strconv.FormatInt(c.id, 10)
}

// check reports whether an event may follow. Continuing is true for the first event of a run that
// continues a stream of which the caller has received events: only the id then shows that it is the
// next one.
func (c *cursor) check(ev event, continuing bool) error {
	switch {
	case !ev.hasData:
		return nil // A comment, for example, which has no position.
	case ev.hasID && c.idKnown && ev.id <= c.id:
		return errors.Wrapf(errDuplicateEvent, "id %d after %d", ev.id, c.id)
	case continuing && !ev.hasID:
		return errEventWithoutID
	case continuing && !c.idsSkip && ev.id != c.id+1:
		return errors.Wrapf(errEventGap, "id %d after %d", ev.id, c.id)
	}
	return nil
}

// advance moves the cursor past an event. First is true for the first event of a run.
func (c *cursor) advance(ev event, first bool) {
	if ev.weights != "" {
		c.weights = ev.weights
	}
	if !ev.hasData {
		return
	}
	if !ev.hasID {
		c.idMissing = true
		return
	}
	if !first && c.idKnown && ev.id != c.id+1 {
		c.idsSkip = true
	}
	c.id, c.idKnown, c.idMissing = ev.id, true, false
}
