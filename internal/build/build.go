// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package build identifies the build of the program that a process runs.
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

// Info describes a build.
type Info struct {
	Version  string `json:"version"`            // Version of the module.
	Revision string `json:"revision,omitempty"` // Revision of the sources; "" for a build without version control.
	Modified bool   `json:"modified,omitempty"` // Whether the sources differ from the revision.
	Go       string `json:"go"`
	ID       string `json:"id"` // As "go tool buildid" prints it; equal only for equal programs.
}

// Read returns the build of this process. The information is read once.
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

// Fields returns the build as fields of a log line.
func (i Info) Fields() []zap.Field {
	return []zap.Field{zap.String("version", i.Version), zap.String("revision", i.Revision), zap.Bool("modified", i.Modified), zap.String("go", i.Go), zap.String("build", i.ID)}
}

// noteHeaderBytes is the size in bytes of the ELF note's header before the ID: three 4-byte integers
// and the name "Go", padded to four bytes.
const noteHeaderBytes = 16

// readBuildID reads the build ID from the executable file.
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
		return "", errors.New("the executable has no build ID note")
	}
	raw, err := note.Data()
	if err != nil {
		return "", err
	}
	if len(raw) < noteHeaderBytes {
		return "", errors.New("the build ID note is too short")
	}
	n := min(int(f.ByteOrder.Uint32(raw[4:])), len(raw)-noteHeaderBytes)
	return string(raw[noteHeaderBytes : noteHeaderBytes+n]), nil
}
