package logging_test

import (
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"fuchsiapick.example/fuchsiapick/logging"
)

// Guards against a panic whose text or stack fills the log, and against one that isn't counted.
func TestPanicsAreCountedAndTheirLinesBounded(t *testing.T) {
	const maxLine = 20 << 10
	log, hook := logtest.NewNullLogger()
	p := logging.NewPanics(log, "caller", "link")
	observed := ""
	p.Observe(func(part string) { observed = part })
	func() {
		defer p.Recover("caller")
		panic(strings.Repeat("long ", maxLine))
	}()
	p.Record("caller", "short", []byte(strings.Repeat("frame ", maxLine)))
	if got := p.PanicCounts(); got["caller"] != 2 || got["link"] != 0 || len(got) != 2 {
		t.Errorf("got %v, want 2 of caller and 0 of link", got)
	}
	if observed != "caller" {
		t.Errorf("got %q observed, want caller", observed)
	}
	entries := hook.AllEntries()
	for _, e := range entries {
		line, err := e.String()
		if err != nil || len(line) > maxLine {
			t.Errorf("got a line of %d bytes, %v; want at most %d", len(line), err, maxLine)
		}
	}
	if stack, ok := entries[0].Data["stack"].(string); !ok || !strings.Contains(stack, "TestPanicsAreCounted") {
		t.Errorf("got stack %q, want it to name what panicked", stack)
	}
}

// Guards against a panic that vanishes where nothing records it.
func TestPanicsThatAreNotRecordedGoOn(t *testing.T) {
	defer func() {
		if got := recover(); got != "a fault of this test" {
			t.Errorf("got %v, want the panic", got)
		}
	}()
	var none *logging.Panics
	defer none.Recover("caller")
	panic("a fault of this test")
}
