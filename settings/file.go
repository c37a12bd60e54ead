package settings

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// MaxWait bounds how long Await tries to load settings. Whatever restarts a node that
	// has ended is about as slow.
	MaxWait = 5 * clock.Second
	// SettleTime is how long a file must be unchanged for its content to count as complete. Parts
	// of a file that is being written can be valid settings.
	SettleTime = 100 * clock.Millis(1)
	// FaultSettleTime is the same for a file with faults. It is at least the resolution in which
	// common file systems record changes.
	FaultSettleTime = clock.Second
	// retryInterval is the interval of the tries of Await.
	retryInterval = 50 * time.Millisecond
)

const (
	// ErrEmpty matches the error of a file without content.
	ErrEmpty = errors.ConstError("file is empty")
	// ErrChanging matches the error of a file that was changed while it was read.
	ErrChanging = errors.ConstError("file changes while it is read")
	// ErrNotRead matches the error of a file that could not be read within MaxWait.
	ErrNotRead = errors.ConstError("file not read in time")
)

// readFile returns the content of a file, up to a byte more than MaxBytes. The content is of one
// version of the file, unless that version changed its size or modification time neither.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close() //nolint:errcheck // it was only read
	before, err := file.Stat()
	if err != nil {
		return nil, errors.Trace(err)
	}
	text, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if before.Mode().IsRegular() {
		after, err := os.Stat(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !SameVersion(before, after) {
			return nil, errors.Annotatef(ErrChanging, "reading %s", path)
		}
	}
	if len(text) == 0 {
		return nil, errors.Annotatef(ErrEmpty, "reading %s", path)
	}
	return text, nil
}

// SameVersion reports whether a file hasn't changed between two looks at it, as far as they show.
func SameVersion(a, b os.FileInfo) bool {
	return os.SameFile(a, b) && a.Size() == b.Size() && a.ModTime().Equal(b.ModTime())
}

// Await loads settings as Load does. It tries again for up to MaxWait while the file is missing, empty
// or being written, and calls waiting at the first such failure. If the context ends, it returns
// the context's error.
func Await(ctx context.Context, path string, waiting func(err error)) (*Settings, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, MaxWait.Duration(), ErrNotRead)
	defer cancel()
	var last error
	for {
		s, err := loadInBackground(ctx, path)
		if !errors.Is(err, ErrNotRead) {
			s, err = settle(ctx, s, err, path)
		}
		switch {
		case err == nil:
			return s, nil
		case ctx.Err() != nil && last != nil && errors.Is(context.Cause(ctx), ErrNotRead):
			return nil, last
		case ctx.Err() != nil:
			return nil, errors.Annotatef(context.Cause(ctx), "settings %s", path)
		case !mayPass(err, path):
			return nil, err
		}
		if last == nil {
			waiting(err)
		}
		last = err
		pause(ctx, retryInterval)
	}
}

// loadInBackground calls Load, which doesn't return while the file is a pipe without a writer.
func loadInBackground(ctx context.Context, path string) (*Settings, error) {
	type result struct {
		settings *Settings
		err      error
	}
	loaded := make(chan result, 1)
	go func() {
		s, err := Load(path)
		loaded <- result{s, err}
	}()
	select {
	case r := <-loaded:
		return r.settings, r.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// settle returns the result of a load, or ErrChanging if the file changes within SettleTime of its
// last change.
func settle(ctx context.Context, s *Settings, err error, path string) (*Settings, error) {
	before, statErr := os.Stat(path)
	if err != nil || statErr != nil || !before.Mode().IsRegular() || !IsYoung(before, SettleTime) {
		return s, err
	}
	pause(ctx, SettleTime.Duration())
	if after, statErr := os.Stat(path); statErr != nil || !SameVersion(before, after) {
		return nil, errors.Annotatef(ErrChanging, "settings %s", path)
	}
	return s, nil
}

// mayPass reports whether a file that couldn't be loaded may still be about to be written.
func mayPass(err error, path string) bool {
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, ErrEmpty) || errors.Is(err, ErrChanging) {
		return true
	}
	info, statErr := os.Stat(path)
	return statErr == nil && info.Mode().IsRegular() && IsYoung(info, FaultSettleTime)
}

// IsYoung reports whether a file was changed within a time before now. A change in the future is none:
// the clocks of file systems and machines differ.
func IsYoung(info os.FileInfo, limit clock.Millis) bool {
	age := time.Since(info.ModTime())
	return 0 <= age && age < limit.Duration()
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
