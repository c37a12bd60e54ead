package access

import "fuchsiapick.example/fuchsiapick/health"

// StateOf is the word for a gate's verdict.
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
