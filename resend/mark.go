package resend

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// MaxKeyLength is the most bytes of an idempotency key.
	MaxKeyLength = 255
	// maxResends bounds the number of a resend.
	maxResends = 1_000_000
	// maxAgeSeconds bounds the age that can be written, in seconds: a year.
	maxAgeSeconds = 365 * 24 * 3600
	agePrefix     = "age="
)

// Header is what a caller says of a resend: "2; age=4.5" is the second resend of
// a request that was first sent 4.5 seconds ago.
type Header struct {
	// Number counts the resends from 1.
	Number uint32
	// Age is the time since the first send.
	Age clock.Millis
}

// CheckKey returns ErrMark for a key that isn't 1 to LongestKey printable
// ASCII characters.
func CheckKey(text string) error {
	if len(text) == 0 || len(text) > MaxKeyLength {
		return errors.Annotatef(ErrMalformed, "a key of %d bytes, want 1 to %d", len(text), MaxKeyLength)
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return errors.Annotate(ErrMalformed, "a key with characters that are not printable ASCII")
		}
	}
	return nil
}

// ParseHeader reads a mark. It returns ErrMark for any other form.
func ParseHeader(text string) (Header, error) {
	number, age, ok := strings.Cut(text, ";")
	age, named := strings.CutPrefix(strings.TrimLeft(age, " "), agePrefix)
	if !ok || !named {
		return Header{}, errors.Annotatef(ErrMalformed, "mark %q, want \"<number>; age=<seconds>\"", text)
	}
	if !isDigits(number) {
		return Header{}, errors.Annotatef(ErrMalformed, "resend number %q", number)
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n == 0 || n > maxResends {
		return Header{}, errors.Annotatef(ErrMalformed, "resend number %q, want 1 to %d", number, maxResends)
	}
	span, err := parseAge(age)
	if err != nil {
		return Header{}, errors.Trace(err)
	}
	return Header{Number: uint32(n), Age: span}, nil
}

// parseAge reads seconds with up to three decimals, rounded up by none: a
// caller that cuts digits off understates by less than the margin.
func parseAge(text string) (clock.Millis, error) {
	whole, part, pointed := strings.Cut(text, ".")
	if !isDigits(whole) || (pointed && !isDigits(part)) || len(part) > 3 {
		return 0, errors.Annotatef(ErrMalformed, "age %q, want seconds with up to three decimals", text)
	}
	seconds, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || seconds > maxAgeSeconds {
		return 0, errors.Annotatef(ErrMalformed, "age %q, want at most %d seconds", text, maxAgeSeconds)
	}
	millis, err := strconv.ParseInt((part + "000")[:3], 10, 64)
	if err != nil {
		return 0, errors.Annotatef(ErrMalformed, "age %q", text)
	}
	return clock.Millis(seconds)*clock.Second + clock.Millis(millis), nil
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return len(text) > 0
}
