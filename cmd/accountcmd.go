package cmd

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"

	"fuchsiapick.example/fuchsiapick/table"
)

const (
	// keyBytes is the number of random bytes in a new key.
	keyBytes = 32
	// maxKeyBytes limits the length of a key; no longer key fits into a request's headers.
	maxKeyBytes = 8 << 10
)

type accountCmd struct {
	Key    *accountKeyCmd    `arg:"subcommand:key" help:"make a key, and print it with its digest for the table"`
	Digest *accountDigestCmd `arg:"subcommand:digest" help:"print the digest of a key read from standard input"`
}

// run reports that the subcommand is missing; it is called only without one.
func (*accountCmd) run(_, stderr io.Writer) int {
	fmt.Fprintln(stderr, "fuchsiapick: account: name a subcommand: key, digest")
	return ExitUsage
}

type accountKeyCmd struct{}

// run prints a new key with its digest. The key is not stored, so this is the only time
// that it is shown.
func (*accountKeyCmd) run(stdout, _ io.Writer) int {
	random := make([]byte, keyBytes)
	_, _ = rand.Read(random) // never returns an error: it crashes the program instead
	key := base64.RawURLEncoding.EncodeToString(random)
	fmt.Fprintf(stdout, "key     %s\ndigest  %s\n", key, table.DigestOf([]byte(key)))
	return ExitOK
}

type accountDigestCmd struct{}

func (*accountDigestCmd) run(stdout, stderr io.Writer) int {
	return printDigest(os.Stdin, stdout, stderr)
}

// printDigest reads a key and prints its digest. It ignores line breaks at the end of the
// input, which editors and echo add.
func printDigest(in io.Reader, stdout, stderr io.Writer) int {
	key, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	key = bytes.TrimRight(key, "\r\n")
	switch {
	case err != nil:
		fmt.Fprintf(stderr, "fuchsiapick: account digest: %v\n", err)
		return ExitFailure
	case len(key) == 0 || len(key) > maxKeyBytes || len(bytes.Fields(key)) != 1:
		fmt.Fprintf(stderr, "fuchsiapick: account digest: want one key without spaces, at most %d bytes\n", maxKeyBytes)
		return ExitFailure
	}
	fmt.Fprintln(stdout, table.DigestOf(key))
	return ExitOK
}
