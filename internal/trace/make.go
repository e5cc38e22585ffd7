// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package trace

import (
	"math"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Kind is a way in which load drifts.
type Kind string

// The kinds.
const (
	Daily       Kind = "daily"       // Question types shift over the day; kiosks in the morning and evening.
	Shift       Kind = "shift"       // The mix of question types jumps a few times.
	Spike       Kind = "spike"       // Single experts are hot for a few samples.
	ZipfWalk    Kind = "zipf-walk"   // Popularity wanders.
	Adversarial Kind = "adversarial" // The load flips as soon as it has been chased.
)

// Config sizes a made trace.
type Config struct {
	Kind    Kind
	Layers  int
	Experts int
	Steps   int // Samples; daily spreads one day over them.
	Seed    uint64
}

// Shape of the made load.
const (
	tokensALayer = 1e6 // A sample.
	exponent     = 0.7 // Of the popularity of experts within a question type.
	noise        = 0.02
	flipEvery    = 24 // Samples between two flips of the adversarial load.
)

// maker draws one trace.
type maker struct {
	cfg   Config
	rnd   *rand.Rand
	types [][][]float64 // Popularity by question type, layer and expert.
}

// Generate draws a trace; equal configs give equal traces.
func Generate(cfg Config) (t Trace, err error) {
	if cfg.Layers < 1 || cfg.Experts < 2 || cfg.Steps < 1 {
		return nil, errors.New("a trace needs at least 1 layer, 2 experts and 1 step")
	}
	m := &maker{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	for range 4 {
		m.types = append(m.types, m.popularity())
	}
	mix, ok := map[Kind]func(step int) []float64{
		Daily: m.daily, Shift: m.shift, Spike: m.level, ZipfWalk: m.level, Adversarial: m.flip,
	}[cfg.Kind]
	if !ok {
		return nil, errors.Newf("no kind %q of trace", cfg.Kind)
	}
	for s := range cfg.Steps {
		if cfg.Kind == ZipfWalk {
			m.wander()
		}
		sample := m.sample(mix(s))
		if cfg.Kind == Spike {
			m.spike(sample, s)
		}
		t = append(t, sample)
	}
	return t, nil
}

// popularity draws which experts a question type uses: Zipf over a random
// order of the experts.
func (m *maker) popularity() [][]float64 {
	layers := make([][]float64, m.cfg.Layers)
	for l := range layers {
		layers[l] = make([]float64, m.cfg.Experts)
		total := 0.0
		for rank, e := range m.rnd.Perm(m.cfg.Experts) {
			layers[l][e] = 1 / math.Pow(float64(rank+1), exponent)
			total += layers[l][e]
		}
		for e := range layers[l] {
			layers[l][e] /= total
		}
	}
	return layers
}

// sample draws one sample of a mix of question types.
func (m *maker) sample(mix []float64) [][]float64 {
	total := 0.0
	for _, w := range mix {
		total += w
	}
	out := make([][]float64, m.cfg.Layers)
	for l := range out {
		out[l] = make([]float64, m.cfg.Experts)
		for e := range out[l] {
			share := 0.0
			for i, w := range mix {
				share += w / total * m.types[i][l][e]
			}
			out[l][e] = math.Max(0, math.Round(tokensALayer*share*(1+noise*m.rnd.NormFloat64())))
		}
	}
	return out
}

// daily is survey, logbook and comparison over the day, and kiosks in the
// morning and the evening.
func (m *maker) daily(step int) []float64 {
	day := float64(step) / float64(m.cfg.Steps)
	hump := func(at, width float64) float64 {
		d := math.Abs(day - at)
		d = math.Min(d, 1-d)
		return math.Exp(-d * d / (2 * width * width))
	}
	return []float64{
		0.3 + hump(0.45, 0.12),
		0.2 + hump(0.65, 0.10),
		0.2 + hump(0.95, 0.15),
		hump(0.30, 0.04) + hump(0.80, 0.04),
	}
}

// shift jumps to another mix four times.
func (m *maker) shift(step int) []float64 {
	mix := []float64{0.1, 0.1, 0.1, 0.1}
	mix[step*5/m.cfg.Steps%4] = 1
	return mix
}

func (m *maker) level(int) []float64 { return []float64{1, 1, 1, 1} }

// flip turns the load from one question type to another and back.
func (m *maker) flip(step int) []float64 {
	if step/flipEvery%2 == 0 {
		return []float64{1, 0, 0, 0}
	}
	return []float64{0, 1, 0, 0}
}

// spike makes one expert a layer hot for a few samples out of many.
func (m *maker) spike(sample [][]float64, step int) {
	const every, lasting, factor = 60, 6, 6
	if step%every >= lasting {
		return
	}
	for l := range sample {
		sample[l][(step/every*7+l*13)%m.cfg.Experts] *= factor
	}
}

// wander multiplies popularities by small random steps.
func (m *maker) wander() {
	const size = 0.02
	for _, layers := range m.types {
		for _, experts := range layers {
			for e := range experts {
				experts[e] *= math.Exp(size * m.rnd.NormFloat64())
			}
		}
	}
}
