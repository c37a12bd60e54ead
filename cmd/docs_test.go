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

// readPages returns README.md, CHANGELOG.md and all pages in docs.
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

// walk calls visit for each node of the page, parents first.
func (p *page) walk(visit func(n ast.Node)) {
	_ = ast.Walk(p.tree, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if entering {
			visit(n)
		}
		return ast.WalkContinue, nil
	})
}

// commandLines returns the lines of the page's code blocks, and the code spans in its
// text.
func (p *page) commandLines() (lines, spans []string) {
	p.walk(func(n ast.Node) {
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
			spans = append(spans, strings.ReplaceAll(string(span), "\n", " "))
		}
	})
	return lines, spans
}

// invocation matches a call of the program: installed, built locally, or run from source.
var invocation = regexp.MustCompile(`^(?:\$ )?(?:(?:\./|bin/)?fuchsiapick|go run \.)(?: (.*))?$`)

// programArguments returns the arguments of a line that calls the program, and false for
// any other line.
func programArguments(line string) ([]string, bool) {
	found := invocation.FindStringSubmatch(strings.TrimSpace(line))
	if found == nil {
		return nil, false
	}
	return strings.Fields(found[1]), true
}

// Guards against a documented command line that fails with a usage error because an
// argument was renamed and the page was not changed.
func TestDocumentedCommandsParse(t *testing.T) {
	parsed := 0
	for _, p := range readPages(t) {
		lines, spans := p.commandLines()
		for _, line := range slices.Concat(lines, spans) {
			args, ok := programArguments(line)
			if !ok || len(args) == 0 {
				continue
			}
			err := cmd.Parse(args)
			// Text may name a command without its required arguments.
			isNameOnly := len(args) == 1 && slices.Contains(spans, line) && err != nil &&
				!strings.Contains(err.Error(), "invalid subcommand")
			if err != nil && !isNameOnly && !errors.Is(err, arg.ErrHelp) {
				t.Errorf("%s: %s: got %v, want a command line that parses", p.file, line, err)
			}
			parsed++
		}
	}
	if parsed < 20 {
		t.Errorf("got %d command lines, want 20 or more: does the expression still match them?", parsed)
	}
}

// Guards against packages without a package comment in the documentation.
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
		dir, prefix := filepath.Dir(file), "Package "+tree.Name.Name+" "
		if tree.Name.Name == "main" {
			prefix = "Command "
		}
		documented[dir] = documented[dir] || strings.HasPrefix(tree.Doc.Text(), prefix)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, ok := range documented {
		if !ok {
			t.Errorf("%s: got no package comment that begins with the name of the package, want one", dir)
		}
	}
	if len(documented) < 25 {
		t.Errorf("got %d packages, want 25 or more: does the search still find them?", len(documented))
	}
}
