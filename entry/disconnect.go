package entry

// CloseNotifier is a caller's connection that reports when the caller closes it during a
// request.
type CloseNotifier interface {
	// Watch calls gone when the caller closes the connection, at most once and not after
	// stop is called.
	Watch(gone func()) (stop func())
}

// watchCaller makes the request notice when its caller closes the connection, because a
// request that nobody waits for must not take an upstream's time. It returns a function
// that ends the watch.
func (r *request) watchCaller() (stop func()) {
	conn, ok := r.ctx.Conn().(CloseNotifier)
	if !ok {
		return func() {}
	}
	gone := make(chan struct{})
	r.callerGone = gone
	return conn.Watch(func() { close(gone) })
}

func (r *request) isCallerGone() bool {
	select {
	case <-r.callerGone:
		return true
	default:
		return false
	}
}
