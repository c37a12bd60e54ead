package share

// LevelCount is the number of priorities.
const LevelCount = 4

const (
	// minLevelPart is the part of the slots, in hundredths, that a priority gets at least while
	// it has waiters.
	minLevelPart = 5
	wholeSlot    = 100
)

// Levels keeps each priority from starving. A priority earns a part of a slot with each slot
// that goes to another one while requests of it want one. When it has earned a whole slot, it
// gets the next one, before more urgent priorities. The zero value is ready to use.
type Levels struct {
	// earned is in hundredths of a slot, at most one slot, so that no priority saves up a burst.
	earned [LevelCount]int
	// refused holds the priorities of which a request found the queue full since the last
	// slot: they want slots, too, although nothing of them waits.
	refused [LevelCount]bool
}

// IsDue reports whether a priority has earned the next slot.
func (l *Levels) IsDue(level int) bool {
	return l.earned[level] >= wholeSlot
}

// Refuse counts a request that would have waited but found no position in the queue.
func (l *Levels) Refuse(level int) {
	l.refused[level] = true
}

// Grant counts a slot that goes to a waiter of a priority. Waiting says which priorities have
// waiters.
func (l *Levels) Grant(level int, waiting [LevelCount]bool) {
	for i := range l.earned {
		if waiting[i] || l.refused[i] {
			l.earned[i] += minLevelPart
		}
		if i == level {
			l.earned[i] = max(l.earned[i]-wholeSlot, 0)
		}
		l.earned[i] = min(l.earned[i], wholeSlot)
	}
	l.refused = [LevelCount]bool{}
}
