// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package build tells which build of the program a process is.
package build

import (
	"debug/elf"
	"os"
	"runtime"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Info is what is known of a build.
type Info struct {
	Version  string `json:"version"`            // Of the module.
	Revision string `json:"revision,omitempty"` // Of its sources; "" for a build without version control.
	Modified bool   `json:"modified,omitempty"` // The sources differ from the revision.
	Go       string `json:"go"`
	ID       string `json:"id"` // As "go tool buildid" prints it; alike only for alike programs.
}

// Read returns the build of this process.
var Read = sync.OnceValue(func() Info {
	i := Info{Go: runtime.Version()}
	if b, ok := debug.ReadBuildInfo(); ok {
		i.Version = b.Main.Version
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision":
				i.Revision = s.Value
			case "vcs.modified":
				i.Modified = s.Value == "true"
			}
		}
	}
	var err error
	if i.ID, err = readBuildID(); err != nil {
		i.ID = "unknown: " + err.Error()
	}
	return i
})

// Fields returns the build for a line of the log.
func (i Info) Fields() []zap.Field {
	return []zap.Field{zap.String("version", i.Version), zap.String("revision", i.Revision), zap.Bool("modified", i.Modified), zap.String("go", i.Go), zap.String("build", i.ID)}
}

// noteHeaderBytes is the size of what stands before the ID in its note: three lengths and the name
// "Go", padded to four bytes.
const noteHeaderBytes = 16

// readBuildID reads the build ID from the program's file.
func readBuildID() (s string, err error) {
	defer func() { err = errors.Wrap(err, "build ID") }()
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	f, err := elf.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	note := f.Section(".note.go.buildid")
	if note == nil {
		return "", errors.New("no note")
	}
	raw, err := note.Data()
	if err != nil {
		return "", err
	}
	if len(raw) < noteHeaderBytes {
		return "", errors.New("short note")
	}
	n := min(int(f.ByteOrder.Uint32(raw[4:])), len(raw)-noteHeaderBytes)
	return string(raw[noteHeaderBytes : noteHeaderBytes+n]), nil
}
