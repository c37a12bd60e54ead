package cmd

import (
	"context"
	"io/fs"
	"os"
	"reflect"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
)

// settingsPollInterval is how often the settings file is checked for a change. The file may change
// without a signal, and an edit must take effect within seconds.
const settingsPollInterval = time.Second

// Causes of a reload.
const (
	causeSignal = "signal"
	causeChange = "file changed"
)

// reloader applies edits of the settings file while the node runs. It applies the log
// level and the policy, and logs that other edits need a restart. A file with faults
// changes nothing, nor does one that is being written.
type reloader struct {
	path         string
	inForce      *settings.Settings
	log          *logrus.Logger
	tableBuilder *platform.TableBuilder // nil if the node has none
	// seen is the file at the last load, nil before the first one and while there is none.
	seen os.FileInfo
	// last are the settings that were loaded last.
	last *settings.Settings
	// isUnsettled is set if the file was loaded so soon after a change that another one may not show
	// in seen.
	isUnsettled bool
	// rejected is the fault of the file at the last load, empty without one.
	rejected string
}

// runGuarded is run that goes on after a panic: a settings file must not end the node.
func (r *reloader) runGuarded(ctx context.Context, hangups <-chan os.Signal, panics *logging.Panics) {
	for ctx.Err() == nil {
		func() {
			defer panics.Recover(node.PartCommand)
			r.run(ctx, hangups)
		}()
		select {
		case <-ctx.Done():
		case <-time.After(settingsPollInterval):
		}
	}
}

// run reloads the settings on SIGHUP, which arrives on hangups, and when the file changes, until
// the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	loaded := *r.inForce
	r.last = &loaded
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.check(causeSignal)
		case <-ticker.C:
			r.check(causeChange)
		}
	}
}

// check loads the file if it has changed, or in any case on a signal.
func (r *reloader) check(cause string) {
	log := r.log.WithFields(logrus.Fields{"settings": r.path, "cause": cause})
	info, err := os.Stat(r.path)
	if err != nil {
		r.seen = nil
		if cause == causeSignal {
			log.WithError(err).Error("settings rejected; those in force stay")
			return
		}
		log.WithError(err).Debug("settings file not checked; the next check is at the next poll")
		return
	}
	if !info.Mode().IsRegular() {
		if cause == causeSignal {
			log.Warn("settings not read again: no regular file; those in force stay")
		}
		return
	}
	isChanged := r.seen == nil || !settings.SameVersion(r.seen, info)
	if !isChanged && !r.isUnsettled && cause == causeChange {
		return
	}
	if isChanged {
		r.rejected = ""
	}
	r.seen, r.isUnsettled = info, settings.IsYoung(info, settings.FaultSettleTime)
	r.reload(log, cause)
}

// reload loads the file and applies its settings.
func (r *reloader) reload(log logrus.FieldLogger, cause string) {
	next, err := settings.Load(r.path)
	switch {
	case err != nil && r.isUnsettled:
		log.WithError(err).Debug("settings file not settled; it is read again at the next poll")
		return
	case err != nil:
		if cause == causeSignal || r.rejected != err.Error() {
			log.WithError(err).Error("settings rejected; those in force stay")
		}
		r.rejected = err.Error()
		r.isUnsettled = errors.Is(err, fs.ErrNotExist) // the secret file may still come
		return
	case settings.IsYoung(r.seen, settings.SettleTime):
		return // it may be a part of the file; the next poll reads it again
	case cause == causeChange && reflect.DeepEqual(next, r.last):
		return
	}
	loaded := *next
	r.last, r.rejected = &loaded, ""
	logWarnings(log, next)
	r.apply(next)
	fixed := *next
	fixed.Log, fixed.Policy, fixed.Warnings = r.inForce.Log, r.inForce.Policy, r.inForce.Warnings
	if !reflect.DeepEqual(fixed, *r.inForce) {
		log.Warn("some changed settings are in force only after a restart")
	}
	r.inForce.Log, r.inForce.Policy = next.Log, next.Policy
	log.Info("settings reloaded")
}

// apply puts into force the settings that can change while the node runs.
func (r *reloader) apply(next *settings.Settings) {
	setLevel(r.log, next.Log)
	if r.tableBuilder != nil {
		r.tableBuilder.SetPolicy(policyDefaults(&next.Policy))
	}
}
