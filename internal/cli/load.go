// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/load"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// loadCommand runs the load generator.
type loadCommand struct {
	app      *app
	Targets  []string      `long:"target" required:"yes" value-name:"IP:PORT" description:"callers' listener of an entry; may be repeated"`
	Keys     []string      `long:"key" required:"yes" description:"bearer key of a customer; may be repeated"`
	Rate     float64       `long:"rate" default:"50" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long to send"`
	Model    string        `long:"model" default:"plates" description:"model to ask"`
	Path     string        `long:"path" default:"/catalogue/" description:"path of the plain service"`
	Streams  float64       `long:"streams" default:"0.7" description:"share of streams"`
	Payments float64       `long:"payments" default:"0.2" description:"share of calls that may not be repeated"`
	Tokens   int           `long:"tokens" default:"40" description:"tokens of an answer"`
	Deadline time.Duration `long:"deadline" description:"deadline of each request"`
	Attempts int           `long:"attempts" default:"3" description:"attempts with one key, or to resume one stream"`
	Seed     uint64        `long:"seed" default:"1" description:"source of chance"`
	Control  string        `long:"control" value-name:"IP:PORT" description:"stand-ins' control, to compare with what ran"`
	JSON     bool          `long:"json" description:"print JSON"`
}

// loadReport is the report that the command prints.
type loadReport struct {
	load.Result
	Verdict    *load.PaymentErrors `json:"verdict,omitempty"`
	FirstToken percentiles         `json:"first_token_us"`
	Between    percentiles         `json:"between_tokens_us"`
	Answer     percentiles         `json:"answer_us"`
}

// percentiles holds percentiles of a histogram, in microseconds.
type percentiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func newPercentiles(h *hdrhistogram.Histogram) percentiles {
	return percentiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max()}
}

// Execute sends the load, checks the answers and prints a report; it fails when a guarantee was violated.
func (v *loadCommand) Execute([]string) (err error) {
	cfg := load.Config{
		Targets: v.Targets, Rate: v.Rate, Duration: v.Duration, Model: v.Model, Path: v.Path,
		StreamShare: v.Streams, PaymentShare: v.Payments, TokensPerAnswer: v.Tokens, Deadline: v.Deadline,
		Seed: v.Seed, MaxAttempts: v.Attempts,
	}
	if v.Rate <= 0 || v.Tokens <= 0 {
		return errors.New("--rate and --tokens must be above 0")
	}
	for i, k := range v.Keys {
		cfg.Callers = append(cfg.Callers, load.Caller{Name: fmt.Sprint(i), Key: k})
	}
	res, err := load.Run(context.Background(), cfg)
	if err != nil {
		return err
	}
	rep := loadReport{Result: res, FirstToken: newPercentiles(res.FirstToken),
		Between: newPercentiles(res.BetweenTokens), Answer: newPercentiles(res.Answer)}
	if v.Control != "" {
		runs, err := fetchRuns(v.Control)
		if err != nil {
			return err
		}
		verdict := load.CheckPayments(res.PaymentOutcomes, runs)
		rep.Verdict = &verdict
	}
	return v.print(rep)
}

// fetchRuns reads from the stand-ins' control listener how many times the plain services have run
// each request, by its id.
func fetchRuns(control string) (runs map[string]int, err error) {
	resp, err := httphead.NewClient(&http.Transport{DisableKeepAlives: true}).Get("http://" + control + standin.PathRuns)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}

func (v *loadCommand) print(rep loadReport) (err error) {
	if v.JSON {
		err = v.app.printJSON(rep)
	} else {
		out := v.app.out
		fmt.Fprintf(out, "sent %d  whole %d  not run %d  unknown %d  broken %d  wrong %d\n",
			rep.Sent, rep.Complete, rep.NotRun, rep.Unknown, rep.NoOutcome, rep.Wrong)
		for _, row := range []struct {
			name string
			p    percentiles
		}{{"first token", rep.FirstToken}, {"between tokens", rep.Between}, {"whole answer", rep.Answer}} {
			fmt.Fprintf(out, "%-15s p50 %8d us  p95 %8d us  p99 %8d us  max %8d us\n",
				row.name, row.p.P50, row.p.P95, row.p.P99, row.p.Max)
		}
		if rep.Verdict != nil {
			fmt.Fprintf(out, "lost %d  doubled %d  false not-run %d\n",
				rep.Verdict.Lost, rep.Verdict.Doubled, rep.Verdict.FalseNotRun)
		}
	}
	if err != nil {
		return err
	}
	if rep.Wrong > 0 || rep.Verdict != nil && *rep.Verdict != (load.PaymentErrors{}) {
		return markFailed(errors.New("a promise was broken"))
	}
	return nil
}
