package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
)

// publication is a configuration's text, its version and where it was read.
type publication struct {
	version uint64
	text    string
	source  versionguard.Source
}

// follower is a process that keeps the newest configuration.
type follower struct {
	guard *versionguard.VersionGuard
	text  string
}

// receiveUpdate proposes a version that was read completely and validated. A version number
// whose text wasn't read must not be proposed: see versionguard.Candidate.
func (f *follower) receiveUpdate(p publication) versionguard.Decision {
	candidate := versionguard.Candidate{Version: p.version, Digest: table.Digest([]byte(p.text)), Source: p.source}
	decision := f.guard.Propose(candidate)
	if decision == versionguard.Accept {
		f.text = p.text
	}
	return decision
}

// Two processes receive the same updates in opposite orders. Two of the updates have the same
// version, and one comes from a stale replica. Both processes end with the same
// configuration, and neither returns to an older version.
func Example_versionGuard() {
	updates := []publication{
		{1, "floor = 0.5", versionguard.Platform},
		{2, "floor = 0.6", versionguard.Platform},
		{2, "floor = 0.7", versionguard.Platform}, // a second operator's edit
		{1, "floor = 0.5", versionguard.Platform}, // a stale replica
	}
	first, second := follower{guard: versionguard.New()}, follower{guard: versionguard.New()}
	for _, p := range updates {
		first.receiveUpdate(p)
	}
	for i := len(updates) - 1; i >= 0; i-- {
		updates[i].source = versionguard.Peer
		second.receiveUpdate(updates[i])
	}
	fmt.Println("same text:", first.text == second.text)
	fmt.Println("version:", first.guard.Current().Version, second.guard.Current().Version)
	_, conflicting := first.guard.Conflicting()
	fmt.Println("tell the operators of a lost edit:", conflicting)
	fmt.Println("stale replica:", first.receiveUpdate(updates[0]))
	// Output:
	// same text: true
	// version: 2 2
	// tell the operators of a lost edit: true
	// stale replica: older
}
