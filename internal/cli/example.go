// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// exampleVerb writes a site that can be started by hand.
type exampleVerb struct {
	app  *app
	User string `long:"user" choice:"archive" choice:"refunds" default:"archive" description:"whose site to lay out"`
	Full bool   `long:"full" description:"the user's size of today instead of the smallest site"`
	Args struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the files and prints the commands that start them.
func (v *exampleVerb) Execute([]string) (err error) {
	size := example.MinimalSize
	if v.Full {
		size = example.FullSize
	}
	s, err := example.New(example.User(v.User), size, 0)
	if err != nil {
		return err
	}
	dir := v.Args.Dir
	for key, value := range s.Published() {
		name := filepath.Join(dir, "published", key)
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			return err
		}
		if err := writeFile(name, value, false); err != nil {
			return err
		}
	}
	bundle := standin.Bundle{Manifest: s.Pack(1, "", s.Published()), Values: s.Published()}
	raw, err := json.Marshal(bundle)
	if err != nil {
		return err
	}
	files := map[string][]byte{
		"generation-1.json": raw,
		"standin.ini":       s.StandinSettings(filepath.Join(dir, "generation-1.json")),
	}
	for _, p := range append(append([]example.Process(nil), s.Entries...), s.Agents...) {
		files[p.Name+".ini"] = s.Settings(p)
	}
	for name, data := range files {
		if err := writeFile(filepath.Join(dir, name), data, false); err != nil {
			return err
		}
	}
	key := base64.StdEncoding.EncodeToString(s.SigningKey.Seed())
	if err := writeFile(filepath.Join(dir, "operator.key"), []byte(key+"\n"), true); err != nil {
		return err
	}
	v.explain(s, dir)
	return nil
}

func (v *exampleVerb) explain(s *example.Site, dir string) {
	fmt.Fprintf(v.app.out, "Start each in the background:\n  canvaspulley standin --config %s\n", filepath.Join(dir, "standin.ini"))
	for _, p := range append(append([]example.Process(nil), s.Agents...), s.Entries...) {
		fmt.Fprintf(v.app.out, "  canvaspulleyd --config %s\n", filepath.Join(dir, p.Name+".ini"))
	}
	c := s.Customers[0]
	fmt.Fprintf(v.app.out, "Then ask:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		s.Entries[0].CallerAddress, c.Key, s.Model)
	fmt.Fprintf(v.app.out, "  canvaspulley load --target %s --key %s --model %s --path %s --control %s\n",
		s.Entries[0].CallerAddress, c.Key, s.Model, s.Path, s.ControlAddress)
	fmt.Fprintf(v.app.out, "  canvaspulley status %s\n", s.Entries[0].OperatorAddress)
}
