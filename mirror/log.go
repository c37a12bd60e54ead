package mirror

import (
	"math/bits"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
)

// bytesReceived returns the number of bytes received from the store so far.
func (f *Follower) bytesReceived() uint64 {
	if f.config.BytesReceived == nil {
		return 0
	}
	return f.config.BytesReceived()
}

// logFailure logs a failed call: the first of a series, and each time the number of
// failures has doubled. A store that is down, a slow store and an answer that is too
// large for the connection or for the timeout of a call cause similar errors; the number
// of bytes received and the duration distinguish them. f.mu is held.
func (f *Follower) logFailure(took clock.Millis, bytes uint64, err error) {
	failures := f.schedule.Failures()
	if bits.OnesCount(uint(failures)) != 1 {
		return
	}
	logging.Repeatable(f.config.Log.WithError(err).WithFields(logrus.Fields{
		"failures": failures, "bytes": bytes, "took": took.String(), "revision": StoreRevision(f.copy.Revision()),
	})).Warn("call of the platform failed")
}

// logLag logs that a change which a peer has read has been unknown here for longer than
// MaxStaleness, so that operators know that the configuration in force is old, and logs
// when it is read. f.mu is held.
func (f *Follower) logLag() {
	now, bound := f.config.Now(), f.config.MaxStaleness
	if late := f.lag.recordRead(now, bound, f.copy.Revision()); late > 0 {
		f.config.Log.WithFields(logrus.Fields{"revision": StoreRevision(f.copy.Revision()), "late": late.String()}).
			Info("late changes of the platform's values were read")
	}
	isFirst, isDue := f.lag.checkLate(now, bound)
	if isFirst {
		f.stats.LateChanges++
	}
	if isDue {
		f.config.Log.WithFields(logrus.Fields{
			"revision": StoreRevision(f.copy.Revision()), "newest": StoreRevision(f.lag.newestRevision()), "late": f.lag.age(now).String(), "failures": f.schedule.Failures(),
		}).Warn("platform's values are old: changes that a peer has read are not known here")
	}
}
