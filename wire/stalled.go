package wire

// HungRun tells an entry that the run of one of its dispatches most likely comes to no end.
// The run goes on until it is abandoned.
type HungRun struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
}

// Kind names the frame.
func (*HungRun) Kind() Kind { return KindHungRun }
