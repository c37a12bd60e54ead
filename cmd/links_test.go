package cmd_test

import (
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/yuin/goldmark/ast"
)

// links returns the targets of the page's links and images.
func (p *page) links() []string {
	var all []string
	p.walk(func(n ast.Node) {
		switch n := n.(type) {
		case *ast.Link:
			all = append(all, string(n.Destination))
		case *ast.Image:
			all = append(all, string(n.Destination))
		}
	})
	return all
}

var notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)

// anchors returns the fragment names of the page's headings.
func (p *page) anchors() map[string]bool {
	all := map[string]bool{}
	p.walk(func(n ast.Node) {
		heading, ok := n.(*ast.Heading)
		if !ok {
			return
		}
		title := strings.ToLower(string(heading.Lines().Value(p.text)))
		all[strings.ReplaceAll(notInAnchor.ReplaceAllString(title, ""), " ", "-")] = true
	})
	return all
}

// Guards against links in the documentation to a page that was moved or never written, or
// to a heading that was renamed.
func TestDocumentedLinksResolve(t *testing.T) {
	pages := readPages(t)
	byFile := map[string]*page{}
	for i := range pages {
		byFile[pages[i].file] = &pages[i]
	}
	checked := 0
	for _, p := range pages {
		for _, link := range p.links() {
			target, err := url.Parse(link)
			if err != nil {
				t.Errorf("%s: got link %s, %v; want a valid URL", p.file, link, err)
				continue
			}
			if target.IsAbs() {
				continue
			}
			checked++
			file := p.file
			if target.Path != "" {
				file = filepath.Join(filepath.Dir(p.file), target.Path)
			}
			if _, err := os.Stat(file); err != nil {
				t.Errorf("%s: got link %s, want one to a file that exists", p.file, link)
				continue
			}
			if target.Fragment != "" && (byFile[file] == nil || !byFile[file].anchors()[target.Fragment]) {
				t.Errorf("%s: got link %s, want one to a heading that exists", p.file, link)
			}
		}
	}
	if checked < 50 {
		t.Errorf("got %d links, want 50 or more: does the search still find them?", checked)
	}
}
