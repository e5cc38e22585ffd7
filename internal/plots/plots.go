// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package plots draws the outcomes of experiments. It computes nothing.
package plots

import (
	"image/color"
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/canvaspulley/canvaspulley/internal/experiment"
)

// colors of the lines, in order.
var colors = []color.RGBA{
	{R: 120, G: 120, B: 120, A: 255}, {R: 214, G: 96, B: 40, A: 255},
	{R: 30, G: 90, B: 180, A: 255}, {R: 40, G: 140, B: 70, A: 255},
}

// Rebalance draws skew and bytes over time, one line a method.
func Rebalance(name string, runs []experiment.Run) (err error) {
	defer func() { err = errors.Wrapf(err, "plot %s", name) }()
	skew, err := lines("step-time skew", runs, func(r experiment.Run) []float64 { return r.Skews })
	if err != nil {
		return err
	}
	bytes, err := lines("GB moved", runs, func(r experiment.Run) []float64 { return r.CumulativeBytes })
	if err != nil {
		return err
	}
	img := vgimg.New(10*vg.Inch, 8*vg.Inch)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4}
	canvas := draw.New(img)
	skew.Draw(tiles.At(canvas, 0, 0))
	bytes.Draw(tiles.At(canvas, 0, 1))
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(f)
	return err
}

func lines(title string, runs []experiment.Run, values func(experiment.Run) []float64) (p *plot.Plot, err error) {
	p = plot.New()
	p.Title.Text = title
	p.X.Label.Text = "sample"
	p.Legend.Top = true
	scale := 1.0
	if title == "GB moved" {
		scale = 1e9
	}
	for i, r := range runs {
		points := make(plotter.XYs, 0, len(r.Skews))
		for x, y := range values(r) {
			points = append(points, plotter.XY{X: float64(x), Y: y / scale})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = colors[i%len(colors)]
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	return p, nil
}
