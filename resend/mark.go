package resend

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// LongestKey is the most bytes of an idempotency key.
	LongestKey = 255
	// mostResends bounds the number of a resend.
	mostResends = 1_000_000
	// oldestAge bounds the age that can be written, in seconds: a year.
	oldestAge = 365 * 24 * 3600
	ageName   = "age="
)

// Mark is what a caller says of a resend: "2; age=4.5" is the second resend of
// a request that was first sent 4.5 seconds ago.
type Mark struct {
	// Number counts the resends from 1.
	Number uint32
	// Age is the time since the first send.
	Age clock.Millis
}

// CheckKey returns ErrMark for a key that isn't 1 to LongestKey printable
// ASCII characters.
func CheckKey(text string) error {
	if len(text) == 0 || len(text) > LongestKey {
		return errors.Annotatef(ErrMark, "a key of %d bytes, want 1 to %d", len(text), LongestKey)
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return errors.Annotate(ErrMark, "a key with characters that are not printable ASCII")
		}
	}
	return nil
}

// ParseMark reads a mark. It returns ErrMark for any other form.
func ParseMark(text string) (Mark, error) {
	number, age, ok := strings.Cut(text, ";")
	age, named := strings.CutPrefix(strings.TrimLeft(age, " "), ageName)
	if !ok || !named {
		return Mark{}, errors.Annotatef(ErrMark, "mark %q, want \"<number>; age=<seconds>\"", text)
	}
	if !digits(number) {
		return Mark{}, errors.Annotatef(ErrMark, "resend number %q", number)
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n == 0 || n > mostResends {
		return Mark{}, errors.Annotatef(ErrMark, "resend number %q, want 1 to %d", number, mostResends)
	}
	span, err := parseAge(age)
	if err != nil {
		return Mark{}, errors.Trace(err)
	}
	return Mark{Number: uint32(n), Age: span}, nil
}

// parseAge reads seconds with up to three decimals, rounded up by none: a
// caller that cuts digits off understates by less than the margin.
func parseAge(text string) (clock.Millis, error) {
	whole, part, pointed := strings.Cut(text, ".")
	if !digits(whole) || (pointed && !digits(part)) || len(part) > 3 {
		return 0, errors.Annotatef(ErrMark, "age %q, want seconds with up to three decimals", text)
	}
	seconds, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || seconds > oldestAge {
		return 0, errors.Annotatef(ErrMark, "age %q, want at most %d seconds", text, oldestAge)
	}
	millis, err := strconv.ParseInt((part + "000")[:3], 10, 64)
	if err != nil {
		return 0, errors.Annotatef(ErrMark, "age %q", text)
	}
	return clock.Millis(seconds)*clock.Second + clock.Millis(millis), nil
}

func digits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return len(text) > 0
}
