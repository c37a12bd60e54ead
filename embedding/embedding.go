// Package embedding shows how a Go program uses the decision packages without this
// project's daemon. It holds only runnable examples, in its test files, which the page
// docs/embedding.md explains.
package embedding
