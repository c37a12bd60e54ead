package access_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

func sum(totals []access.Total) (n uint64) {
	for _, t := range totals {
		n += t.Count
	}
	return n
}

// A manager adds up the lines of a report and misses requests. The node was
// short of memory: it forgot callers, cells and records, and with them their
// requests. What is forgotten must stay in the sums, and each caller's error
// within the bound that the report states.
func TestAccountsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 4
		b := access.New(access.Config{Records: 6, Events: 2, Callers: bound})
		var received, closed uint64
		truth := map[string]uint64{}
		for i := range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "receive") {
				b.RequestReceived()
				received++
				continue
			}
			r := access.Record{
				ID:       fmt.Sprint(i),
				Caller:   fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "caller")),
				Service:  rapid.SampledFrom([]string{"", "bacheca", "conferme"}).Draw(t, "service"),
				Upstream: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "upstream")),
				Outcome:  rapid.SampledFrom([]access.Outcome{access.Served, access.NotRun, access.Unknown}).Draw(t, "outcome"),
			}
			b.RequestFinished(clock.Millis(i), r)
			if closed < received {
				closed++
				truth[r.Caller]++
			}
		}
		s := b.Snapshot(1000, access.Filter{})
		if s.Received != received || s.Closed != closed || s.Closed+s.Open != s.Received {
			t.Fatalf("got %d received, %d closed, %d open; want %d, %d", s.Received, s.Closed, s.Open, received, closed)
		}
		if got := sum(s.Totals); got != closed {
			t.Fatalf("got totals of %d, want %d", got, closed)
		}
		if got := uint64(len(s.Records)) + s.Dropped.Served + s.Dropped.Unserved; got != closed {
			t.Fatalf("got %d records kept and dropped, want %d", got, closed)
		}
		for _, c := range s.Callers {
			if c.Count > truth[c.Caller] || truth[c.Caller] > c.Count+c.Missed || c.Missed > closed/bound {
				t.Fatalf("got caller %+v, want %d within it, and at most %d missed", c, truth[c.Caller], closed/bound)
			}
			delete(truth, c.Caller)
		}
		for name, n := range truth {
			if n > closed/bound || n > s.MaxMissed {
				t.Fatalf("got no totals of caller %s with %d of %d requests, want them", name, n, closed)
			}
		}
	})
}

func TestBookUnderConcurrency(t *testing.T) {
	const workers, each = 8, 500
	b := access.New(access.Config{Records: 64, Callers: 4})
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := range each {
				b.RequestReceived()
				b.RequestFinished(clock.Millis(i), access.Record{Caller: fmt.Sprint(w, i%7), Service: "bacheca", Outcome: access.Served})
				b.RecordEvent(access.Event{Kind: access.Restored})
				if i%100 == 0 {
					b.Snapshot(clock.Millis(i), access.Filter{Since: clock.Second})
				}
			}
		})
	}
	wait.Wait()
	s := b.Snapshot(each, access.Filter{})
	if got, want := sum(s.Totals), uint64(workers*each); got != want || s.Open != 0 || s.Received != want {
		t.Errorf("got %d in totals, %d open, %d received; want %d, 0, %d", got, s.Open, s.Received, want, want)
	}
}

// A flood of served requests must not push the few refusals, which a manager
// asks about, out of the records.
func TestRefusalsOutliveServed(t *testing.T) {
	b := access.New(access.Config{Records: 4})
	b.RequestReceived()
	b.RequestFinished(1, access.Record{ID: "refused", Outcome: access.NotRun, Reason: access.ReasonNoUpstream})
	for i := range 100 {
		b.RequestReceived()
		b.RequestFinished(2, access.Record{ID: fmt.Sprint(i), Outcome: access.Served, Started: 2})
	}
	s := b.Snapshot(10, access.Filter{})
	if got := s.Records[len(s.Records)-1].ID; got != "refused" || len(s.Records) != 3 {
		t.Errorf("got %d records, the oldest %q; want 3, the oldest refused", len(s.Records), got)
	}
	if got := s.Dropped.Served; got != 98 {
		t.Errorf("got %d served dropped, want 98", got)
	}
	if got := b.Snapshot(10, access.Filter{Since: 9}).Span; got != 8 {
		t.Errorf("got totals of 9 ms back span %v, want 8ms: what is older was overwritten", got)
	}
}

func TestSnapshotFilters(t *testing.T) {
	b := access.New(access.Config{Callers: 1})
	for i, caller := range []string{"palermo", "palermo", "hotel"} {
		b.RequestReceived()
		b.RequestFinished(clock.Millis(i), access.Record{
			ID: fmt.Sprint(i), Caller: caller, Service: "bacheca", Upstream: fmt.Sprint("bacheca-", i), Outcome: access.Served, Started: clock.Millis(i),
		})
	}
	tests := []struct {
		name   string
		filter access.Filter
		totals uint64
		ids    string
	}{
		{"all", access.Filter{}, 3, "2 1 0"},
		{"service", access.Filter{Service: "conferme"}, 0, ""},
		{"upstream", access.Filter{Upstream: "bacheca-1"}, 1, "1"},
		{"since", access.Filter{Since: 9}, 2, "2 1"},
		{"limit", access.Filter{Limit: 1}, 3, "2"},
		{"a caller forgotten", access.Filter{Caller: "palermo"}, 0, "1 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := b.Snapshot(10, tt.filter)
			var ids []string
			for _, r := range s.Records {
				ids = append(ids, r.ID)
			}
			if got := strings.Join(ids, " "); got != tt.ids || sum(s.Totals) != tt.totals {
				t.Errorf("got %d in totals, records %q; want %d, %q", sum(s.Totals), got, tt.totals, tt.ids)
			}
		})
	}
	if got := b.Snapshot(10, access.Filter{Caller: "palermo"}).MaxMissed; got < 2 {
		t.Errorf("got %d missable, want at least the 2 that palermo made", got)
	}
}

// A caller over its own limit must not be able to burn a service's budget.
func TestWhatBurns(t *testing.T) {
	tests := []struct {
		name         string
		record       access.Record
		total        uint64
		failed, slow uint64
	}{
		{"served", access.Record{Outcome: access.Served, Status: 200, Took: 250}, 1, 0, 0},
		{"slow", access.Record{Outcome: access.Served, Status: 200, Took: 251}, 1, 0, 1},
		{"upstream's error", access.Record{Outcome: access.Served, Status: 500, Took: 251}, 1, 1, 0},
		{"upstream's 4xx", access.Record{Outcome: access.Served, Status: 404}, 1, 0, 0},
		{"no upstream", access.Record{Outcome: access.NotRun, Reason: access.ReasonNoUpstream}, 1, 1, 0},
		{"unknown", access.Record{Outcome: access.Unknown, Reason: "timeout"}, 1, 1, 0},
		{"service's limit", access.Record{Outcome: access.NotRun, Reason: access.ReasonServiceLimit}, 1, 1, 0},
		{"caller's limit", access.Record{Outcome: access.NotRun, Reason: access.ReasonCallerLimit}, 0, 0, 0},
		{"caller hung up", access.Record{Outcome: access.Unknown, Reason: access.ReasonCallerGone}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := access.New(access.Config{})
			b.SetServices([]table.Service{{Name: "bacheca", Objective: table.Objective{Latency: 250}}})
			b.RequestReceived()
			tt.record.Service = "bacheca"
			b.RequestFinished(0, tt.record)
			var total, failed, slow uint64
			for _, s := range b.Snapshot(0, access.Filter{}).Burn {
				total, failed, slow = s.Windows[0].Total, s.Windows[0].Failed, s.Windows[0].Slow
			}
			if total != tt.total || failed != tt.failed || slow != tt.slow {
				t.Errorf("got %d, %d failed, %d slow; want %d, %d, %d", total, failed, slow, tt.total, tt.failed, tt.slow)
			}
		})
	}
}

func TestFilterQuery(t *testing.T) {
	want := access.Filter{Service: "a&b", Caller: "c d", Upstream: "u", Since: clock.Minute, Limit: 7}
	args := map[string]string{"service": "a&b", "caller": "c d", "upstream": "u", "since": "1m0s", "limit": "7"}
	got, err := access.ParseFilter(func(name string) string { return args[name] })
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	if got, want := want.Query(), "caller=c+d&limit=7&service=a%26b&since=1m0s&upstream=u"; got != want {
		t.Errorf("got query %q, want %q", got, want)
	}
	for name, value := range map[string]string{"since": "-1s", "limit": "x"} {
		_, err := access.ParseFilter(func(asked string) string {
			if asked == name {
				return value
			}
			return ""
		})
		if !errors.Is(err, access.ErrInvalidFilter) {
			t.Errorf("got error %v for %s=%s, want ErrFilter", err, name, value)
		}
	}
}

// BenchmarkClose gives the cost of one record at growing numbers of callers.
func BenchmarkClose(b *testing.B) {
	for _, callers := range []int{1_000, 10_000, 100_000, 1_300_000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprint("caller-", i)
			}
			book := access.New(access.Config{})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				book.RequestReceived()
				book.RequestFinished(clock.Millis(i/2), access.Record{
					ID: "id", Caller: names[i*7919%callers], Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served,
				})
			}
		})
	}
}
