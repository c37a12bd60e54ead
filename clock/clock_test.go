package clock_test

import (
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

func TestMillisUnmarshalText(t *testing.T) {
	tests := []struct {
		name string
		text string
		want clock.Millis
		err  error
	}{
		{"milliseconds", "250ms", 250, nil},
		{"seconds", "5s", 5 * clock.Second, nil},
		{"negative", "-1s", -clock.Second, nil},
		{"finer than a millisecond", "10us", 0, clock.ErrSpan},
		{"no unit", "12", 0, clock.ErrSpan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got clock.Millis
			err := got.UnmarshalText([]byte(tt.text))
			if !errors.Is(err, tt.err) {
				t.Fatalf("got error %v, want %v", err, tt.err)
			}
			if got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
