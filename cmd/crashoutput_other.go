//go:build !linux

package cmd

import "io"

// keepCrashOutput does nothing: the Go runtime prints crashes to standard error alone.
func keepCrashOutput(io.Writer, io.Writer) error { return nil }
