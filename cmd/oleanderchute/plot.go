package main

import "fmt"

// plot is an SVG bar plot. The exported fields are for the template; their coordinates are
// formatted in pixels.
type plot struct {
	Title                                                            string
	Width, Height, Left, Top, InnerWidth, InnerHeight                string
	Bars                                                             []plotBar
	Limits                                                           []plotLine
	Labels                                                           []plotLabel
	width, height, left, top, right, bottom, innerWidth, innerHeight float64
}

type plotBar struct{ X, Y, Width, Height, Class, Tooltip string }

type plotLine struct{ X1, Y1, X2, Y2 string }

type plotLabel struct{ X, Y, Anchor, Text string }

func formatPixels(v float64) string { return fmt.Sprintf("%.1f", v) }

// newPlot returns an empty plot. The size in pixels includes the margins.
func newPlot(title string, width, height float64) plot {
	p := plot{Title: title, width: width, height: height, left: 45, top: 20, right: width - 5, bottom: height - 18}
	p.innerWidth, p.innerHeight = p.right-p.left, p.bottom-p.top
	p.Width, p.Height, p.Left, p.Top = formatPixels(width), formatPixels(height), formatPixels(p.left), formatPixels(p.top)
	p.InnerWidth, p.InnerHeight = formatPixels(p.innerWidth), formatPixels(p.innerHeight)
	return p
}

// barClass returns the CSS class of a bar.
func barClass(isOverLimit bool) string {
	if isOverLimit {
		return "over"
	}
	return "bar"
}

// addColumn adds vertical bar i of n. fraction is its height from 0 to 1.
func (p *plot) addColumn(i, n int, fraction float64, isOverLimit bool, tooltip string) {
	step := p.innerWidth / float64(n)
	p.Bars = append(p.Bars, plotBar{
		X: formatPixels(p.left + float64(i)*step), Y: formatPixels(p.bottom - fraction*p.innerHeight),
		Width: formatPixels(0.85 * step), Height: formatPixels(fraction * p.innerHeight), Class: barClass(isOverLimit), Tooltip: tooltip,
	})
}

// addHorizontalBar adds a bar that starts at the left edge. fraction is its length from 0
// to 1.
func (p *plot) addHorizontalBar(fraction float64, isOverLimit bool) {
	p.Bars = append(p.Bars, plotBar{
		X: p.Left, Y: p.Top, Width: formatPixels(fraction * p.innerWidth), Height: p.InnerHeight, Class: barClass(isOverLimit), Tooltip: p.Title,
	})
}

// addLimitLine adds a dashed horizontal line. fraction is its height from 0 to 1.
func (p *plot) addLimitLine(fraction float64) {
	y := formatPixels(p.bottom - fraction*p.innerHeight)
	p.Limits = append(p.Limits, plotLine{X1: p.Left, Y1: y, X2: formatPixels(p.right), Y2: y})
}

// addVerticalLabels labels the bottom of the vertical axis with 0 and its top with maxLabel.
func (p *plot) addVerticalLabels(maxLabel string) {
	p.Labels = append(p.Labels,
		plotLabel{X: formatPixels(p.left - 4), Y: formatPixels(p.top + 9), Anchor: "end", Text: maxLabel},
		plotLabel{X: formatPixels(p.left - 4), Y: formatPixels(p.bottom), Anchor: "end", Text: "0"})
}

// addHorizontalLabels labels both ends of the horizontal axis.
func (p *plot) addHorizontalLabels(first, last string) {
	p.Labels = append(p.Labels,
		plotLabel{X: p.Left, Y: formatPixels(p.height - 4), Anchor: "start", Text: first},
		plotLabel{X: formatPixels(p.right), Y: formatPixels(p.height - 4), Anchor: "end", Text: last})
}
