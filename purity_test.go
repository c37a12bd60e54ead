package main_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// decisionPackages must use no goroutines, no channel operations and no global random source.
// The linter's depguard rule keeps I/O and clocks out of the same packages.
var decisionPackages = []string{"announcement", "burn", "choice", "departure", "difference", "document", "episode", "floor", "freshness", "health", "lease", "limit", "path", "quarantine", "quota", "referral", "relay", "rendezvous", "resend", "retry", "share", "speed", "table", "versionguard", "waiting"}

// A decision package that starts a goroutine or uses the global random source gives different
// results on every run, so a failure found once can't be reproduced.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, dir := range decisionPackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkPure(t, file)
			}
		}
	}
}

// checkPure reports goroutines, channel operations and uses of the global random source in a
// file.
func checkPure(t *testing.T, file string) {
	t.Helper()
	fset := token.NewFileSet()
	tree, err := parser.ParseFile(fset, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt:
			t.Errorf("%s: got a goroutine or channel operation, want none", fset.Position(n.Pos()))
		case *ast.CallExpr:
			if isGlobalRandom(n) {
				t.Errorf("%s: got a use of the global random source, want a seeded one", fset.Position(n.Pos()))
			}
		}
		return true
	})
}

// isGlobalRandom reports whether the call uses the global source of math/rand: any function of
// the package but the constructors New*.
func isGlobalRandom(call *ast.CallExpr) bool {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := sel.X.(*ast.Ident)
	return ok && pkg.Name == "rand" && pkg.Obj == nil && !strings.HasPrefix(sel.Sel.Name, "New")
}
