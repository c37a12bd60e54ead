// Package reading reads the platform's configuration service: values with
// versions, read at once or watched, and the list of instances.
//
// The platform can be down, stale or slow for hours. Nothing here decides
// whether a value is put in force: the caller's version fence does.
package reading

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Errors of reads. Each is annotated with the key and what was seen.
const (
	// ErrAbsent reports a key that was never published.
	ErrAbsent = errors.ConstError("the platform has no such value")
	// ErrUnavailable reports a platform that did not answer, or not in time.
	ErrUnavailable = errors.ConstError("the platform does not answer")
	// ErrTooLarge reports a value over MaxValue.
	ErrTooLarge = errors.ConstError("the platform's value is too large")
	// ErrAnswer reports an answer that breaks the platform's protocol.
	ErrAnswer = errors.ConstError("the platform's answer is malformed")
)

// MaxValue is the largest value, in bytes, that the platform holds.
const MaxValue = 1 << 20

// Defaults of Config.
const (
	// defaultTimeout is far above the milliseconds that a platform in order
	// takes, and short enough that a silent connection is soon given up.
	defaultTimeout = 2 * clock.Second
	// defaultWait keeps a watch's call rate at two a minute, and ends it before
	// the idle limits that the networks between commonly have, of a minute.
	defaultWait = 30 * clock.Second
)

// Streams of the seeds, so that one seed gives unrelated draws to each part.
const (
	readerStream  = 1
	backoffStream = 2
	planStream    = 3
)

// Value is one value at one version.
type Value struct {
	Key     string
	Version uint64
	Body    []byte
}

// Config describes a Reader.
type Config struct {
	// Address is the platform's IP number and port.
	Address string
	// Timeout bounds a read, and what a watch may take beyond Wait; 0 stands
	// for two seconds.
	Timeout clock.Millis
	// Wait is the longest that a watch waits for a newer value; 0 stands for
	// 30 seconds. Each watch draws its own wait from three quarters of it up.
	Wait clock.Millis
	// Seed draws the waits; nodes have different ones.
	Seed uint64
}

// Reader reads and watches values. It is safe for concurrent use.
type Reader struct {
	config Config
	dialer net.Dialer

	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a reader; it connects at each call. A connection held between
// calls could have gone silent meanwhile, and the next read would hang on it.
func New(config Config) *Reader {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Wait <= 0 {
		config.Wait = defaultWait
	}
	return &Reader{config: config, rand: rand.New(rand.NewPCG(config.Seed, readerStream))}
}

// Get reads a value at once. It returns ErrAbsent, ErrUnavailable,
// ErrTooLarge or ErrAnswer.
func (r *Reader) Get(ctx context.Context, key string) (Value, error) {
	value, found, err := r.call(ctx, key, "", r.config.Timeout)
	if err == nil && !found {
		err = errors.Annotate(ErrAnswer, "not modified, without a version asked about")
	}
	if err != nil {
		return Value{}, errors.Annotatef(err, "reading %q from %s", key, r.config.Address)
	}
	return value, nil
}

// Watch waits until a value above the version after is published, and returns
// it and true. When the wait ends without one it returns false and a Value
// that has no body; its Version is what the platform holds, 0 if unknown.
// Errors are those of Get.
func (r *Reader) Watch(ctx context.Context, key string, after uint64) (Value, bool, error) {
	wait := r.drawWait()
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	value, changed, err := r.call(ctx, key, query, wait+r.config.Timeout)
	if err == nil && changed && value.Version <= after {
		// Taken for news it would have the node watch again at once, without end.
		err = errors.Annotatef(ErrAnswer, "version %d, want above %d", value.Version, after)
	}
	if err != nil {
		return Value{}, false, errors.Annotatef(err, "watching %q at %s", key, r.config.Address)
	}
	return value, changed, nil
}

// drawWait spreads the ends of watches: a published value ends those of all
// nodes at one moment, and equal waits would have them end together ever after.
func (r *Reader) drawWait() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := r.config.Wait
	return longest - clock.Millis(r.rand.Int64N(int64(longest)/4+1))
}

// call sends one request on a connection of its own, which ends with ctx.
func (r *Reader) call(ctx context.Context, key, query string, within clock.Millis) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, within.Duration())
	defer cancel()
	conn, err := r.dialer.DialContext(ctx, "tcp", r.config.Address)
	if err != nil {
		return Value{}, false, unavailable(err)
	}
	defer closeQuietly(conn)
	defer context.AfterFunc(ctx, func() { expire(conn) })()

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + r.config.Address + "/v1/values/" + url.PathEscape(key) + query)
	req.SetConnectionClose()
	if err := send(conn, req); err != nil {
		return Value{}, false, unavailable(err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(bufio.NewReader(conn), MaxValue); err != nil {
		return Value{}, false, readFault(err)
	}
	return judge(key, resp)
}

func send(conn net.Conn, req *fasthttp.Request) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readFault tells a platform that broke off from one that wrote what is no
// answer.
func readFault(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Annotatef(ErrTooLarge, "over %d bytes", MaxValue)
	case errors.As(err, &network), errors.Is(err, fasthttp.ErrTimeout),
		errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return unavailable(err)
	default:
		return errors.Annotate(ErrAnswer, err.Error())
	}
}

// judge reads what the platform answered.
func judge(key string, resp *fasthttp.Response) (Value, bool, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		version, err := versionOf(resp)
		if err != nil {
			return Value{}, false, err
		}
		return Value{Key: key, Version: version, Body: append([]byte(nil), resp.Body()...)}, true, nil
	case fasthttp.StatusNotModified:
		version, err := versionOf(resp)
		if err != nil {
			version = 0 // a platform may say nothing of what it holds
		}
		return Value{Key: key, Version: version}, false, nil
	case fasthttp.StatusNotFound:
		return Value{}, false, ErrAbsent
	default:
		if status >= fasthttp.StatusInternalServerError {
			return Value{}, false, errors.Annotatef(ErrUnavailable, "status %d", status)
		}
		return Value{}, false, errors.Annotatef(ErrAnswer, "status %d", status)
	}
}

func versionOf(resp *fasthttp.Response) (uint64, error) {
	text := string(resp.Header.Peek("Version"))
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errors.Annotatef(ErrAnswer, "header Version %q, want a number above 0", text)
	}
	return version, nil
}

func unavailable(err error) error {
	return errors.Annotate(ErrUnavailable, err.Error())
}

// expire breaks reads and writes that are under way.
func expire(conn net.Conn) {
	_ = conn.SetDeadline(time.Unix(1, 0))
}

func closeQuietly(c interface{ Close() error }) {
	_ = c.Close()
}
