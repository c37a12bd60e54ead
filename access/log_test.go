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

func sumCounts(totals []access.Total) (n uint64) {
	for _, t := range totals {
		n += t.Count
	}
	return n
}

// The totals of a report lack requests, since the node dropped callers, cells and records to
// limit its memory. Dropped requests must stay in the sums, and the count missing from each
// caller's totals must be within the maximum that the report states.
func TestTotalsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCallers = 4
		l := access.New(access.Config{Records: 6, Events: 2, Callers: maxCallers})
		var received, closed uint64
		wantCounts := map[string]uint64{}
		for i := range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "receive") {
				l.RequestReceived()
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
			l.RequestFinished(clock.Millis(i), r)
			if closed < received {
				closed++
				wantCounts[r.Caller]++
			}
		}
		s := l.Snapshot(1000, access.Filter{})
		if s.Received != received || s.Closed != closed || s.Closed+s.Open != s.Received {
			t.Fatalf("got %d received, %d closed, %d open; want %d, %d", s.Received, s.Closed, s.Open, received, closed)
		}
		if got := sumCounts(s.Totals); got != closed {
			t.Fatalf("got totals of %d, want %d", got, closed)
		}
		if got := uint64(len(s.Records)) + s.Dropped.Served + s.Dropped.Unserved; got != closed {
			t.Fatalf("got %d records kept and dropped, want %d", got, closed)
		}
		for _, c := range s.Callers {
			if c.Count > wantCounts[c.Caller] || wantCounts[c.Caller] > c.Count+c.Missed || c.Missed > closed/maxCallers {
				t.Fatalf("got caller %+v, want %d between Count and Count+Missed, and at most %d missed", c, wantCounts[c.Caller], closed/maxCallers)
			}
			delete(wantCounts, c.Caller)
		}
		for name, n := range wantCounts {
			if n > closed/maxCallers || n > s.MaxMissed {
				t.Fatalf("got no totals of caller %s with %d of %d requests, want them", name, n, closed)
			}
		}
	})
}

func TestLogUnderConcurrency(t *testing.T) {
	const workers, requestsEach = 8, 500
	l := access.New(access.Config{Records: 64, Callers: 4})
	var workersDone sync.WaitGroup
	for w := range workers {
		workersDone.Go(func() {
			for i := range requestsEach {
				l.RequestReceived()
				l.RequestFinished(clock.Millis(i), access.Record{Caller: fmt.Sprint(w, i%7), Service: "bacheca", Outcome: access.Served})
				l.RecordEvent(access.Event{Kind: access.Restored})
				if i%100 == 0 {
					l.Snapshot(clock.Millis(i), access.Filter{Since: clock.Second})
				}
			}
		})
	}
	workersDone.Wait()
	s := l.Snapshot(requestsEach, access.Filter{})
	if got, want := sumCounts(s.Totals), uint64(workers*requestsEach); got != want || s.Open != 0 || s.Received != want {
		t.Errorf("got %d in totals, %d open, %d received; want %d, 0, %d", got, s.Open, s.Received, want, want)
	}
}

// A flood of served requests must not overwrite the records of the few refused ones, which
// operators need to find a fault.
func TestUnservedRecordsSurviveServedFlood(t *testing.T) {
	l := access.New(access.Config{Records: 4})
	l.RequestReceived()
	l.RequestFinished(1, access.Record{ID: "refused", Outcome: access.NotRun, Reason: access.ReasonNoUpstream})
	for i := range 100 {
		l.RequestReceived()
		l.RequestFinished(2, access.Record{ID: fmt.Sprint(i), Outcome: access.Served, Started: 2})
	}
	s := l.Snapshot(10, access.Filter{})
	if got := s.Records[len(s.Records)-1].ID; got != "refused" || len(s.Records) != 3 {
		t.Errorf("got %d records, the oldest %q; want 3, the oldest refused", len(s.Records), got)
	}
	if got := s.Dropped.Served; got != 98 {
		t.Errorf("got %d served dropped, want 98", got)
	}
	if got := l.Snapshot(10, access.Filter{Since: 9}).Span; got != 8 {
		t.Errorf("got span %v for totals since 9ms, want 8ms, since older records were overwritten", got)
	}
}

func TestSnapshotFilters(t *testing.T) {
	l := access.New(access.Config{Callers: 1})
	for i, caller := range []string{"palermo", "palermo", "hotel"} {
		l.RequestReceived()
		l.RequestFinished(clock.Millis(i), access.Record{
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
		{"an untracked caller", access.Filter{Caller: "palermo"}, 0, "1 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := l.Snapshot(10, tt.filter)
			var ids []string
			for _, r := range s.Records {
				ids = append(ids, r.ID)
			}
			if got := strings.Join(ids, " "); got != tt.ids || sumCounts(s.Totals) != tt.totals {
				t.Errorf("got %d in totals, records %q; want %d, %q", sumCounts(s.Totals), got, tt.totals, tt.ids)
			}
		})
	}
	if got := l.Snapshot(10, access.Filter{Caller: "palermo"}).MaxMissed; got < 2 {
		t.Errorf("got MaxMissed %d, want at least the 2 requests of palermo", got)
	}
}

// A caller that exceeds its own limit must not spend the error budget of a service.
func TestRequestsThatSpendBudget(t *testing.T) {
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
			l := access.New(access.Config{})
			l.SetServices([]table.Service{{Name: "bacheca", Objective: table.Objective{Latency: 250}}})
			l.RequestReceived()
			tt.record.Service = "bacheca"
			l.RequestFinished(0, tt.record)
			var total, failed, slow uint64
			for _, s := range l.Snapshot(0, access.Filter{}).Burn {
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
		_, err := access.ParseFilter(func(parameter string) string {
			if parameter == name {
				return value
			}
			return ""
		})
		if !errors.Is(err, access.ErrInvalidFilter) {
			t.Errorf("got error %v for %s=%s, want ErrInvalidFilter", err, name, value)
		}
	}
}

// BenchmarkClose measures the cost of one record for growing numbers of callers.
func BenchmarkClose(b *testing.B) {
	for _, callers := range []int{1_000, 10_000, 100_000, 1_300_000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprint("caller-", i)
			}
			log := access.New(access.Config{})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				log.RequestReceived()
				log.RequestFinished(clock.Millis(i/2), access.Record{
					ID: "id", Caller: names[i*7919%callers], Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served,
				})
			}
		})
	}
}
