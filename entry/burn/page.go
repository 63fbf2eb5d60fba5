package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"almondstand.dev/entry/internal/figure"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"exact":   exactPercent,
	"rate":    figure.Short,
}).Parse(pageText))

// Sizes of a plot, in SVG units.
const (
	plotWidth  = 360
	plotHeight = 90
	// maxPlottedRate is the highest burn rate shown in a plot.
	maxPlottedRate = 100
)

// pageRow is a row of the report with its plots.
type pageRow struct {
	Row
	BurnPlot    template.HTML
	LatencyPlot template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	rows := make([]pageRow, len(r.Rows))
	for i, row := range r.Rows {
		rows[i] = pageRow{Row: row, BurnPlot: burnPlot(row), LatencyPlot: latencyPlot(row)}
	}
	return page.Execute(w, struct {
		Footer string
		Rows   []pageRow
	}{r.footer(), rows})
}

// burnPlot plots the burn rate over BudgetWindow on a logarithmic scale, with the
// latest value on the right. The line at 1 marks the burn rate that the objective
// allows.
func burnPlot(row Row) template.HTML {
	var polyline strings.Builder
	for i := len(row.series) - 1; i >= 0; i-- {
		x := plotWidth * (1 - (float64(i)+0.5)/float64(pointCount))
		fmt.Fprintf(&polyline, "%.1f,%.1f ", x, burnHeight(row.series[i].BurnRate(row.Objective)))
	}
	allowedHeight := burnHeight(1)
	return plot(fmt.Sprintf(
		`<line class="allowed" x1="0" x2="%d" y1="%.1f" y2="%.1f"/><polyline class="burn" points="%s"/>`,
		plotWidth, allowedHeight, allowedHeight, polyline.String()))
}

// burnHeight returns the y coordinate of a burn rate: 0 is at the bottom, 1 at a
// third of the height, maxPlottedRate at the top.
func burnHeight(rate float64) float64 {
	share := math.Log10(1+9*math.Min(rate, maxPlottedRate)) / math.Log10(1+9*maxPlottedRate)
	return plotHeight * (1 - share)
}

// latencyPlot plots the latency histogram.
func latencyPlot(row Row) template.HTML {
	var highest uint64 = 1
	for _, n := range row.latency {
		highest = max(highest, n)
	}
	const width = float64(plotWidth) / latencyBucketCount
	var bars strings.Builder
	for i, n := range row.latency {
		height := plotHeight * float64(n) / float64(highest)
		fmt.Fprintf(&bars, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f"><title>up to %s: %d</title></rect>`,
			float64(i)*width, plotHeight-height, width-1, height, BucketBound(i).Round(smallestBound/10), n)
	}
	return plot(bars.String())
}

// plot wraps SVG elements in an svg element. They contain numbers and durations
// only, so nothing needs escaping.
func plot(drawing string) template.HTML {
	return template.HTML(fmt.Sprintf(`<svg viewBox="0 0 %d %d" width="%d" height="%d">%s</svg>`,
		plotWidth, plotHeight, plotWidth, plotHeight, drawing))
}
