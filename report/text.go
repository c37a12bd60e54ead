package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Text writes the report as plain text for a terminal.
func (r *Report) Text(w io.Writer) error {
	out := bufio.NewWriter(w)
	p := &printer{out: out}
	p.line("fuchsiapick: who got what, as of ", r.date())
	if r.Partial {
		p.line("PARTIAL: not every node answered.")
	}
	p.line()
	for _, f := range r.Findings {
		p.line(levelMarks[f.Level], " ", f.Text)
	}
	for _, s := range r.sheets() {
		p.sheet(s)
	}
	return errors.Annotate(out.Flush(), "writing the report")
}

// levelMarks holds the prefixes of findings that show their level without colour.
var levelMarks = map[Level]string{LevelBad: "!!", LevelWatch: " !", LevelNote: "  "}

func (r *Report) date() string {
	return r.AsOf.UTC().Format(time.RFC1123)
}

// JSON writes the report as indented JSON for programs.
func (r *Report) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(r), "writing the report")
}

// printer writes lines of text. It ignores write errors, since the buffered writer keeps
// the first one and returns it from Flush.
type printer struct {
	out *bufio.Writer
}

func (p *printer) line(parts ...string) {
	_, _ = p.out.WriteString(strings.Join(parts, "") + "\n")
}

// sheet writes a table with aligned columns.
func (p *printer) sheet(s sheet) {
	p.line()
	p.line(strings.ToUpper(s.Title))
	if len(s.Rows) == 0 {
		p.line("  ", s.Empty)
		return
	}
	if s.Note != "" {
		p.line("  ", s.Note)
	}
	var grid bytes.Buffer
	table := tabwriter.NewWriter(&grid, 0, 0, 2, ' ', 0)
	widths := s.widths()
	headings := make([]string, len(s.Columns))
	for i, c := range s.Columns {
		headings[i] = c.Name
	}
	for _, row := range append([][]string{headings}, s.Rows...) {
		var text strings.Builder
		for i, c := range row {
			text.WriteString("  ")
			if s.Columns[i].Number {
				text.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)))
			}
			text.WriteString(c)
			text.WriteByte('\t')
		}
		_, _ = io.WriteString(table, text.String()+"\n")
	}
	_ = table.Flush()
	for row := range strings.Lines(grid.String()) {
		p.line(strings.TrimRight(row, " \n"))
	}
	if s.Left > 0 {
		p.line("  and ", pluralize(s.Left, "more row", "more rows"), "; --format json has all.")
	}
}

// widths returns the width in runes of each column's widest cell or heading.
func (s *sheet) widths() []int {
	widths := make([]int, len(s.Columns))
	for i, c := range s.Columns {
		widths[i] = utf8.RuneCountInString(c.Name)
	}
	for _, row := range s.Rows {
		for i, c := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(c))
		}
	}
	return widths
}
