package mirror

import (
	"math/bits"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

// bytesReceived is how many bytes have come from the store.
func (f *Follower) bytesReceived() uint64 {
	if f.config.BytesReceived == nil {
		return 0
	}
	return f.config.BytesReceived()
}

// logFailure writes how a call failed: the first of a row, and whenever their number has
// doubled. A store that is down, one that is slow, and an answer that is too large for the
// line or for the time that a call may take look alike in the error; the bytes that came
// and the time that they took tell them apart. The lock is held.
func (f *Follower) logFailure(took clock.Millis, bytes uint64, err error) {
	failures := f.schedule.Failures()
	if bits.OnesCount(uint(failures)) != 1 {
		return
	}
	f.config.Log.WithError(err).WithFields(logrus.Fields{
		"failures": failures, "bytes": bytes, "took": took.String(), "revision": f.copy.Revision(),
	}).Warn("call of the platform failed")
}

// logLag writes that a change which a peer has read is not known here for longer than it
// may take, so that what is in force is known to be old, and that it is read at last. The
// lock is held.
func (f *Follower) logLag() {
	now, fresh := f.config.Now(), f.config.MaxStaleness
	if late := f.lag.recordRead(now, fresh, f.copy.Revision()); late > 0 {
		f.config.Log.WithFields(logrus.Fields{"revision": f.copy.Revision(), "late": late.String()}).
			Info("late changes of the platform's values were read")
	}
	isFirst, isDue := f.lag.late(now, fresh)
	if isFirst {
		f.stats.LateChanges++
	}
	if isDue {
		f.config.Log.WithFields(logrus.Fields{
			"revision": f.copy.Revision(), "newest": f.lag.newest(), "late": f.lag.span(now).String(), "failures": f.schedule.Failures(),
		}).Warn("platform's values are old: changes that a peer has read are not known here")
	}
}
