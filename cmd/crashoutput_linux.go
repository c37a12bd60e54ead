package cmd

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
)

// keepCrashOutput makes a crash that the process can't handle itself leave its stacks in the log, too,
// and end the process whether or not its outputs are read. The Go runtime writes the stacks to
// descriptor 2 with all goroutines stopped: a pipe that is full would keep the process, and
// its ports, for ever.
func keepCrashOutput(stdout, stderr io.Writer) error {
	if file, ok := stderr.(*os.File); ok && file.Fd() == uintptr(syscall.Stderr) {
		if err := unblockErrors(file); err != nil {
			return err
		}
	}
	log, ok := stdout.(*os.File)
	if !ok || isSameFile(stdout, stderr) {
		return nil
	}
	info, err := log.Stat()
	switch {
	case err != nil:
		return errors.Annotate(err, "reading what standard output is")
	case info.Mode()&os.ModeNamedPipe != 0:
		if log, err = reopenPipe(log); err != nil {
			return err
		}
		defer func() { _ = log.Close() }() // the runtime has a descriptor of its own
	case !info.Mode().IsRegular():
		return nil // a write to a terminal or a socket may block
	}
	return errors.Annotate(debug.SetCrashOutput(log, debug.CrashOptions{}), "setting the output of crashes")
}

// unblockErrors replaces a pipe at descriptor 2 by one whose writes don't block.
func unblockErrors(stderr *os.File) error {
	info, err := stderr.Stat()
	if err != nil {
		return errors.Annotate(err, "reading what standard error is")
	}
	if info.Mode()&os.ModeNamedPipe == 0 {
		return nil
	}
	pipe, err := reopenPipe(stderr)
	if err != nil {
		return err
	}
	defer func() { _ = pipe.Close() }() // descriptor 2 stays open
	return errors.Annotate(syscall.Dup3(int(pipe.Fd()), syscall.Stderr, 0), "replacing standard error")
}

// reopenPipe opens a pipe once more for writes that don't block. The flag is that of an open file, which
// other processes may share, so it can't be set on the pipe's own descriptor.
func reopenPipe(pipe *os.File) (*os.File, error) {
	fd, err := syscall.Open(fmt.Sprintf("/proc/self/fd/%d", pipe.Fd()), syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotatef(err, "opening the pipe of %s", pipe.Name())
	}
	return os.NewFile(uintptr(fd), pipe.Name()), nil
}

func isSameFile(a, b io.Writer) bool {
	fileA, okA := a.(*os.File)
	fileB, okB := b.(*os.File)
	if !okA || !okB {
		return false
	}
	infoA, errA := fileA.Stat()
	infoB, errB := fileB.Stat()
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}
