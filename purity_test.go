package main_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// decisions are the packages that must stay free of goroutines and of global
// randomness; the linter's depguard rule keeps I/O and clocks out of them.
var decisions = []string{"burn", "choice", "difference", "document", "versionguard", "floor", "episode", "health", "lease", "limit", "path", "quarantine", "quota", "rendezvous", "resend", "retry", "table"}

// A decision that starts a goroutine or draws from the global source gives
// another figure on every run, so that a fault found once can't be replayed.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, dir := range decisions {
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

func checkPure(t *testing.T, file string) {
	t.Helper()
	set := token.NewFileSet()
	tree, err := parser.ParseFile(set, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt:
			t.Errorf("%s: got a goroutine or channel operation, want none", set.Position(n.Pos()))
		case *ast.CallExpr:
			if isGlobalRandom(n) {
				t.Errorf("%s: got a draw from the global source, want a seeded one", set.Position(n.Pos()))
			}
		}
		return true
	})
}

func isGlobalRandom(call *ast.CallExpr) bool {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := sel.X.(*ast.Ident)
	return ok && pkg.Name == "rand" && pkg.Obj == nil && !strings.HasPrefix(sel.Sel.Name, "New")
}
