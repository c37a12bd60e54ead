// Package embedding shows, as runnable examples, how a plain Go program uses
// the decision packages without this project's daemons. It has no code of its
// own: the page docs/embedding.md explains the examples in its test files.
package embedding
