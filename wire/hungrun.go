package wire

// HungRun notifies an entry that the run of one of its dispatches has most likely hung.
// The run continues until it is abandoned.
type HungRun struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
}

// Kind implements Message.
func (*HungRun) Kind() Kind { return KindHungRun }
