package resend

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// MaxKeyLength is the maximum length of an idempotency key in bytes.
	MaxKeyLength = 255
	// maxResends bounds the number of a resend.
	maxResends = 1_000_000
	// maxAgeSeconds bounds the age in a header, in seconds: a year.
	maxAgeSeconds = 365 * 24 * 3600
	agePrefix     = "age="
)

// Header is the value of a resend header: "2; age=4.5" marks the second resend of a request
// that was first sent 4.5 seconds ago.
type Header struct {
	// Number counts the resends from 1.
	Number uint32
	// Age is the time since the first send.
	Age clock.Millis
}

// CheckKey returns ErrMalformed for a key that isn't 1 to MaxKeyLength printable ASCII
// characters.
func CheckKey(text string) error {
	if len(text) == 0 || len(text) > MaxKeyLength {
		return errors.Annotatef(ErrMalformed, "idempotency key has %d bytes, want 1 to %d", len(text), MaxKeyLength)
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return errors.Annotate(ErrMalformed, "idempotency key has characters that are not printable ASCII")
		}
	}
	return nil
}

// ParseHeader parses the value of a resend header. It returns ErrMalformed for any other
// form.
func ParseHeader(text string) (Header, error) {
	number, age, ok := strings.Cut(text, ";")
	age, hasAge := strings.CutPrefix(strings.TrimLeft(age, " "), agePrefix)
	if !ok || !hasAge {
		return Header{}, errors.Annotatef(ErrMalformed, "resend header %q, want \"<number>; age=<seconds>\"", text)
	}
	if !isDigits(number) {
		return Header{}, errors.Annotatef(ErrMalformed, "resend number %q, want decimal digits", number)
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n == 0 || n > maxResends {
		return Header{}, errors.Annotatef(ErrMalformed, "resend number %q, want 1 to %d", number, maxResends)
	}
	duration, err := parseAge(age)
	if err != nil {
		return Header{}, errors.Trace(err)
	}
	return Header{Number: uint32(n), Age: duration}, nil
}

// parseAge parses seconds with up to three decimals and doesn't round up: a caller that
// truncates further digits understates the age by less than Margin.
func parseAge(text string) (clock.Millis, error) {
	whole, decimals, hasPoint := strings.Cut(text, ".")
	if !isDigits(whole) || (hasPoint && !isDigits(decimals)) || len(decimals) > 3 {
		return 0, errors.Annotatef(ErrMalformed, "age %q, want seconds with up to three decimals", text)
	}
	seconds, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || seconds > maxAgeSeconds {
		return 0, errors.Annotatef(ErrMalformed, "age %q, want at most %d seconds", text, maxAgeSeconds)
	}
	millis, err := strconv.ParseInt((decimals + "000")[:3], 10, 64)
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
