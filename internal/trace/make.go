// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package trace

import (
	"math"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Kind is the way in which the load of a generated trace changes over time.
type Kind string

// The kinds.
const (
	Daily       Kind = "daily"       // Question types follow the time of day; kiosks in the morning and evening.
	Shift       Kind = "shift"       // The mix of question types changes abruptly, four times.
	Spike       Kind = "spike"       // One expert per layer is hot for a few samples.
	ZipfWalk    Kind = "zipf-walk"   // The popularity of experts follows a random walk.
	Adversarial Kind = "adversarial" // The load changes as soon as a rebalancer has followed it.
)

// Config configures a generated trace.
type Config struct {
	Kind    Kind
	Layers  int
	Experts int
	Steps   int // Number of samples; Daily spreads one day over them.
	Seed    uint64
}

// Parameters of the generated load.
const (
	tokensPerLayer = 1e6  // Per sample.
	zipfExponent   = 0.7  // Of the popularity of experts within a question type.
	relativeNoise  = 0.02 // Standard deviation relative to the mean.
	flipInterval   = 24   // Samples between two changes of the adversarial load.
)

// generator generates one trace.
type generator struct {
	cfg           Config
	rnd           *rand.Rand
	questionTypes [][][]float64 // Popularity by question type, layer and expert.
}

// Generate returns a random trace; equal configs give equal traces.
func Generate(cfg Config) (t Trace, err error) {
	if cfg.Layers < 1 || cfg.Experts < 2 || cfg.Steps < 1 {
		return nil, errors.New("a trace needs at least 1 layer, 2 experts and 1 step")
	}
	g := &generator{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	for range 4 {
		g.questionTypes = append(g.questionTypes, g.popularity())
	}
	mix, ok := map[Kind]func(step int) []float64{
		Daily: g.dailyMix, Shift: g.shiftMix, Spike: g.uniformMix, ZipfWalk: g.uniformMix, Adversarial: g.adversarialMix,
	}[cfg.Kind]
	if !ok {
		return nil, errors.Newf("no kind %q of trace", cfg.Kind)
	}
	for s := range cfg.Steps {
		if cfg.Kind == ZipfWalk {
			g.perturb()
		}
		sample := g.sample(mix(s))
		if cfg.Kind == Spike {
			g.addSpike(sample, s)
		}
		t = append(t, sample)
	}
	return t, nil
}

// popularity draws the share of each expert in a question type: a Zipf
// distribution over a random order of the experts.
func (g *generator) popularity() [][]float64 {
	layers := make([][]float64, g.cfg.Layers)
	for l := range layers {
		layers[l] = make([]float64, g.cfg.Experts)
		total := 0.0
		for rank, e := range g.rnd.Perm(g.cfg.Experts) {
			layers[l][e] = 1 / math.Pow(float64(rank+1), zipfExponent)
			total += layers[l][e]
		}
		for e := range layers[l] {
			layers[l][e] /= total
		}
	}
	return layers
}

// sample draws one sample for the weights of the question types in mix.
func (g *generator) sample(mix []float64) [][]float64 {
	total := 0.0
	for _, w := range mix {
		total += w
	}
	out := make([][]float64, g.cfg.Layers)
	for l := range out {
		out[l] = make([]float64, g.cfg.Experts)
		for e := range out[l] {
			share := 0.0
			for i, w := range mix {
				share += w / total * g.questionTypes[i][l][e]
			}
			out[l][e] = math.Max(0, math.Round(tokensPerLayer*share*(1+relativeNoise*g.rnd.NormFloat64())))
		}
	}
	return out
}

// dailyMix returns the weights of the question types at a time of the day: survey,
// logbook and comparison over the day, and kiosks in the morning and the evening.
func (g *generator) dailyMix(step int) []float64 {
	day := float64(step) / float64(g.cfg.Steps)
	peak := func(at, width float64) float64 {
		d := math.Abs(day - at)
		d = math.Min(d, 1-d)
		return math.Exp(-d * d / (2 * width * width))
	}
	return []float64{
		0.3 + peak(0.45, 0.12),
		0.2 + peak(0.65, 0.10),
		0.2 + peak(0.95, 0.15),
		peak(0.30, 0.04) + peak(0.80, 0.04),
	}
}

// shiftMix gives one question type most of the load, and changes the type four
// times in a trace.
func (g *generator) shiftMix(step int) []float64 {
	mix := []float64{0.1, 0.1, 0.1, 0.1}
	mix[step*5/g.cfg.Steps%4] = 1
	return mix
}

func (g *generator) uniformMix(int) []float64 { return []float64{1, 1, 1, 1} }

// adversarialMix alternates between two question types every flipInterval samples.
func (g *generator) adversarialMix(step int) []float64 {
	if step/flipInterval%2 == 0 {
		return []float64{1, 0, 0, 0}
	}
	return []float64{0, 1, 0, 0}
}

// addSpike makes one expert per layer hot for the first few samples of each interval.
func (g *generator) addSpike(sample [][]float64, step int) {
	const interval, duration, factor = 60, 6, 6
	if step%interval >= duration {
		return
	}
	for l := range sample {
		sample[l][(step/interval*7+l*13)%g.cfg.Experts] *= factor
	}
}

// perturb multiplies each popularity by a small random factor.
func (g *generator) perturb() {
	const stepSize = 0.02
	for _, layers := range g.questionTypes {
		for _, experts := range layers {
			for e := range experts {
				experts[e] *= math.Exp(stepSize * g.rnd.NormFloat64())
			}
		}
	}
}
