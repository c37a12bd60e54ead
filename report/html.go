package report

import (
	_ "embed" // the page's template is in page.html
	"html/template"
	"io"

	"github.com/juju/errors"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the template.
type page struct {
	Date     string
	Partial  bool
	Scope    string
	Cards    []card
	Findings []Finding
	Plots    []plot
	Sheets   []sheet
}

// card is a highlighted count at the top of the page.
type card struct {
	Class string
	Text  string
	Count string
}

// HTML writes the report as one HTML page that refers to no other files.
func (r *Report) HTML(w io.Writer) error {
	builder := findingsBuilder{report: r}
	data := page{
		Date: r.date(), Partial: r.Partial, Scope: builder.scope(), Findings: r.Findings,
		Plots: r.plots(), Sheets: r.sheets(),
		Cards: []card{
			{"served", "served", formatCount(r.Requests.Served)},
			{"notrun", "refused, not run", formatCount(r.Requests.NotRun)},
			{"unknown", "unknown outcome", formatCount(r.Requests.Unknown)},
			{"open", "still open", formatCount(r.Requests.Open)},
		},
	}
	return errors.Annotate(pageTemplate.Execute(w, data), "writing the report")
}
