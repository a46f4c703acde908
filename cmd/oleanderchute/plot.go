package main

import "fmt"

// plot is an SVG bar plot. Coordinates are texts in pixels.
type plot struct {
	Title                                                 string
	Width, Height, Left, Top, InnerWidth, InnerHeight     string
	Bars                                                  []plotBar
	Limits                                                []plotLine
	Labels                                                []plotLabel
	width, height, left, top, right, bottom, inner, depth float64
}

type plotBar struct{ X, Y, Width, Height, Class, Tooltip string }

type plotLine struct{ X1, Y1, X2, Y2 string }

type plotLabel struct{ X, Y, Anchor, Text string }

func pixels(v float64) string { return fmt.Sprintf("%.1f", v) }

// newPlot returns an empty plot of a size in pixels, margins included.
func newPlot(title string, width, height float64) plot {
	p := plot{Title: title, width: width, height: height, left: 45, top: 20, right: width - 5, bottom: height - 18}
	p.inner, p.depth = p.right-p.left, p.bottom-p.top
	p.Width, p.Height, p.Left, p.Top = pixels(width), pixels(height), pixels(p.left), pixels(p.top)
	p.InnerWidth, p.InnerHeight = pixels(p.inner), pixels(p.depth)
	return p
}

func barClass(over bool) string {
	if over {
		return "over"
	}
	return "bar"
}

// column adds the upright bar i of n; share is its height from 0 to 1.
func (p *plot) column(i, n int, share float64, over bool, tip string) {
	step := p.inner / float64(n)
	p.Bars = append(p.Bars, plotBar{
		X: pixels(p.left + float64(i)*step), Y: pixels(p.bottom - share*p.depth),
		Width: pixels(0.85 * step), Height: pixels(share * p.depth), Class: barClass(over), Tooltip: tip,
	})
}

// row adds one bar from the left; share is its length from 0 to 1.
func (p *plot) row(share float64, over bool) {
	p.Bars = append(p.Bars, plotBar{
		X: p.Left, Y: p.Top, Width: pixels(share * p.inner), Height: p.InnerHeight, Class: barClass(over), Tooltip: p.Title,
	})
}

// limit adds a dashed line at a height from 0 to 1.
func (p *plot) limit(share float64) {
	y := pixels(p.bottom - share*p.depth)
	p.Limits = append(p.Limits, plotLine{X1: p.Left, Y1: y, X2: pixels(p.right), Y2: y})
}

// scale labels the vertical axis from 0 to top.
func (p *plot) scale(top string) {
	p.Labels = append(p.Labels,
		plotLabel{X: pixels(p.left - 4), Y: pixels(p.top + 9), Anchor: "end", Text: top},
		plotLabel{X: pixels(p.left - 4), Y: pixels(p.bottom), Anchor: "end", Text: "0"})
}

// ends labels both ends of the horizontal axis.
func (p *plot) ends(first, last string) {
	p.Labels = append(p.Labels,
		plotLabel{X: p.Left, Y: pixels(p.height - 4), Anchor: "start", Text: first},
		plotLabel{X: pixels(p.right), Y: pixels(p.height - 4), Anchor: "end", Text: last})
}
