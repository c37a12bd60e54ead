package cmd_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/yuin/goldmark"
	"github.com/yuin/goldmark/ast"
	"github.com/yuin/goldmark/text"

	"fuchsiapick.example/fuchsiapick/cmd"
)

const root = ".."

// page is a parsed Markdown page.
type page struct {
	file string
	text []byte
	tree ast.Node
}

// readPages returns the README and all pages under docs.
func readPages(t *testing.T) []page {
	t.Helper()
	files := []string{filepath.Join(root, "README.md"), filepath.Join(root, "CHANGELOG.md")}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(file string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(file, ".md") {
			files = append(files, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	pages := make([]page, 0, len(files))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, page{file, content, goldmark.DefaultParser().Parse(text.NewReader(content))})
	}
	return pages
}

// each calls visit for each node of a page.
func (p *page) each(visit func(n ast.Node)) {
	_ = ast.Walk(p.tree, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if entering {
			visit(n)
		}
		return ast.WalkContinue, nil
	})
}

// commands returns the command lines in a page's code blocks, and those that
// its sentences quote.
func (p *page) commands() (lines, quoted []string) {
	p.each(func(n ast.Node) {
		switch n := n.(type) {
		case *ast.FencedCodeBlock:
			block := strings.ReplaceAll(string(n.Lines().Value(p.text)), "\\\n", " ")
			lines = append(lines, strings.Split(block, "\n")...)
		case *ast.CodeSpan:
			var span []byte
			for c := n.FirstChild(); c != nil; c = c.NextSibling() {
				if part, ok := c.(*ast.Text); ok {
					span = append(span, part.Segment.Value(p.text)...)
				}
			}
			quoted = append(quoted, strings.ReplaceAll(string(span), "\n", " "))
		}
	})
	return lines, quoted
}

// invocation is how a page calls the program: installed, built, or from source.
var invocation = regexp.MustCompile(`^(?:\$ )?(?:(?:\./|bin/)?fuchsiapick|go run \.)(?: (.*))?$`)

func arguments(line string) ([]string, bool) {
	found := invocation.FindStringSubmatch(strings.TrimSpace(line))
	if found == nil {
		return nil, false
	}
	return strings.Fields(found[1]), true
}

// An operator copies a command from a page at night and gets a usage error: an
// argument was renamed, and the page wasn't.
func TestPagesCommandsParse(t *testing.T) {
	parsed := 0
	for _, p := range readPages(t) {
		lines, quoted := p.commands()
		for _, line := range slices.Concat(lines, quoted) {
			args, ok := arguments(line)
			if !ok || len(args) == 0 {
				continue
			}
			err := cmd.Parse(args)
			// A sentence may name a command without its arguments.
			named := len(args) == 1 && slices.Contains(quoted, line) && err != nil &&
				!strings.Contains(err.Error(), "invalid subcommand")
			if err != nil && !named && !errors.Is(err, arg.ErrHelp) {
				t.Errorf("%s: %s: got %v, want a command line that parses", p.file, line, err)
			}
			parsed++
		}
	}
	if parsed < 20 {
		t.Errorf("got %d command lines, want 20 or more: are they still found?", parsed)
	}
}

// A newcomer opens a package in the documentation and finds no word on it.
func TestPackagesHaveDocComments(t *testing.T) {
	documented := map[string]bool{}
	err := filepath.WalkDir(root, func(file string, d fs.DirEntry, err error) error {
		name := d.Name()
		if d.IsDir() && (name == "testdata" || name != ".." && strings.HasPrefix(name, ".")) {
			return fs.SkipDir
		}
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.PackageClauseOnly|parser.ParseComments)
		if err != nil {
			return errors.Trace(err)
		}
		dir, begin := filepath.Dir(file), "Package "+tree.Name.Name+" "
		if tree.Name.Name == "main" {
			begin = "Command "
		}
		documented[dir] = documented[dir] || strings.HasPrefix(tree.Doc.Text(), begin)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, ok := range documented {
		if !ok {
			t.Errorf("%s: got no comment on the package that begins with its name, want one", dir)
		}
	}
	if len(documented) < 25 {
		t.Errorf("got %d packages, want 25 or more: are they still found?", len(documented))
	}
}
