package access

import "fuchsiapick.example/fuchsiapick/health"

// StateOf returns the name of a gate's verdict; StateInUse if the verdict is none of the
// others.
func StateOf(verdict health.State) string {
	switch verdict {
	case health.Ejected:
		return StateEjected
	case health.Trial:
		return StateTrial
	case health.Ramp:
		return StateRamp
	default:
		return StateInUse
	}
}
