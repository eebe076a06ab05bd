// Package savorystore provides the client of the platform's key-value service.
//
// The service implements the JSON mapping of the etcd v3 API. A Store offers
// the calls that the system needs: reads, compare-and-swap of single keys,
// which can be grouped into one call when several callers write at once, leases
// and watches. Every value has the revision of its last change; revision 0
// stands for an absent key.
//
// A call that fails returns an *Error whose verdict states whether the service
// may have applied the call. The verdict is NotRun only if no byte can have
// reached the service, or if the service rejected the call before it ran.
package savorystore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

// MaxTxnOps bounds the operations of one transaction, since the service bounds
// their number.
const MaxTxnOps = 64

// MaxTxnBytes bounds the bytes of the values of one transaction. The service
// bounds the size of a request, and base64 adds a third.
const MaxTxnBytes = 512 << 10

// maxResponseBytes bounds the response to one call.
const maxResponseBytes = 64 << 20

// maxWatchBytes bounds one message of a watch. It carries the changes of a few
// transactions, each of at most MaxTxnBytes.
const maxWatchBytes = 16 << 20

// errWatchTooLarge is returned if a message of a watch exceeds maxWatchBytes.
var errWatchTooLarge = fmt.Errorf("a message of the watch exceeds %d bytes", maxWatchBytes)

// httpClient carries the calls of all stores.
var httpClient = &http.Client{Transport: savoryconn.DefaultTransport()}

// maxReadTimeouts bounds a read whose response makes progress, as a multiple of
// the timeout.
const maxReadTimeouts = 5

// opRange is the operation of reads.
const opRange = "range"

// ErrLeaseExpired is returned when the service has no record of a lease.
var ErrLeaseExpired = errors.New("the lease has expired")

// Store is a client of the service. Its exported fields are set before its
// first use.
type Store struct {
	// Address is the address of the service.
	Address netip.AddrPort
	// Timeout bounds each call except Watch. For a read it bounds the time
	// without progress, since a slow link may need longer for the values.
	Timeout time.Duration
	// OnCall, if set, is called after each call except Watch.
	OnCall func(op string, err error)
}

// Value is the content of one key. The zero Value stands for an absent key.
type Value struct {
	Key      string
	Body     []byte
	Revision int64
	// Era is the era of the service in which the key was read; 0 if it states none.
	Era int64
}

// Position returns the position of the last change of the key.
func (v Value) Position() savoryworld.Position {
	return savoryworld.Position{Era: v.Era, Revision: v.Revision}
}

// Exists reports whether the key exists.
func (v Value) Exists() bool { return v.Revision != 0 }

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key string
	// ExpectedRevision is the revision that the key must have; 0 means that the
	// key must be absent.
	ExpectedRevision int64
	// Body is the new content; nil deletes the key.
	Body []byte
	// Lease is the ID of the lease to which the key is attached; 0 means none.
	Lease int64
}

// SwapResult is the outcome of a Swap.
type SwapResult struct {
	Applied bool
	// Revision is the key's new revision if Applied is set, Era the era of the
	// service at the swap; 0 if it states none.
	Revision int64
	Era      int64
	// Current is the key's content if Applied is not set.
	Current Value
}

// Lease is a granted lease.
type Lease struct {
	ID  int64
	TTL time.Duration
	// Era is the era of the service in which the lease was granted or renewed; 0
	// if it states none. In a later era the ID may belong to another lease.
	Era int64
}

// Error is a failed call.
type Error struct {
	Op string
	// Verdict states whether the service may have applied the call.
	Verdict savoryverdict.Verdict
	Err     error
}

var _ error = (*Error)(nil)

// Error returns the operation, the cause and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s: %v (%s)", e.Op, e.Err, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsLeaseExpired reports whether err means that the service has no record of a
// lease.
func IsLeaseExpired(err error) bool { return errors.Is(err, ErrLeaseExpired) }

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (Value, error) {
	var response RangeResponse
	if err := s.call(ctx, opRange, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &response); err != nil {
		return Value{}, err
	}
	return firstValue(key, response), nil
}

// GetMany reads several keys, up to MaxTxnOps in each call. Absent keys are
// left out.
func (s *Store) GetMany(ctx context.Context, keys []string) ([]Value, error) {
	var values []Value
	for group := range slices.Chunk(keys, MaxTxnOps) {
		var txn TxnRequest
		for _, key := range group {
			txn.Success = append(txn.Success, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
		}
		var response TxnResponse
		if err := s.call(ctx, opRange, "/v3/kv/txn", txn, &response); err != nil {
			return nil, err
		}
		for _, op := range response.Responses {
			if op.Range != nil && len(op.Range.Kvs) > 0 {
				values = append(values, valueOf(op.Range.Kvs[0]))
			}
		}
	}
	return values, nil
}

// List reads the keys that begin with prefix and their revisions, but not their
// values.
func (s *Store) List(ctx context.Context, prefix string) ([]Value, error) {
	var response RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), KeysOnly: true}
	if err := s.call(ctx, opRange, "/v3/kv/range", req, &response); err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		values = append(values, valueOf(kv))
	}
	return values, nil
}

// Swap performs one compare-and-swap.
func (s *Store) Swap(ctx context.Context, swap Swap) (SwapResult, error) {
	results, err := s.SwapGroup(ctx, []Swap{swap})
	if err != nil {
		return SwapResult{}, err
	}
	return results[0], nil
}

// SwapGroup performs up to MaxTxnOps swaps of different keys in one call. Each
// is applied or not independently of the others.
func (s *Store) SwapGroup(ctx context.Context, swaps []Swap) ([]SwapResult, error) {
	var group TxnRequest
	for _, swap := range swaps {
		txn := swapTxn(swap)
		group.Success = append(group.Success, RequestOp{Txn: &txn})
	}
	var response TxnResponse
	if err := s.call(ctx, "txn", "/v3/kv/txn", group, &response); err != nil {
		return nil, err
	}
	if len(response.Responses) != len(swaps) {
		err := fmt.Errorf("%d responses to %d swaps", len(response.Responses), len(swaps))
		return nil, &Error{Op: "txn", Verdict: savoryverdict.MayHaveRun, Err: err}
	}
	results := make([]SwapResult, len(swaps))
	for i, op := range response.Responses {
		if op.Txn == nil {
			return nil, &Error{Op: "txn", Verdict: savoryverdict.MayHaveRun, Err: errors.New("the response to a swap is missing")}
		}
		results[i] = swapResult(swaps[i], op.Txn, response.Header.Revision)
	}
	return results, nil
}

// PutMany writes several keys without a condition, up to MaxTxnOps keys and
// MaxTxnBytes in each call. After an error some of the keys may have been
// written.
func (s *Store) PutMany(ctx context.Context, values []Value) error {
	for len(values) > 0 {
		var txn TxnRequest
		size := 0
		for len(values) > 0 && len(txn.Success) < MaxTxnOps && (size == 0 || size+len(values[0].Body) <= MaxTxnBytes) {
			v := values[0]
			values = values[1:]
			size += len(v.Body)
			txn.Success = append(txn.Success, RequestOp{Put: &PutRequest{Key: []byte(v.Key), Value: v.Body}})
		}
		if err := s.call(ctx, "put", "/v3/kv/txn", txn, &TxnResponse{}); err != nil {
			return err
		}
	}
	return nil
}

// DeleteMany deletes several keys without a condition.
func (s *Store) DeleteMany(ctx context.Context, keys []string) error {
	for group := range slices.Chunk(keys, MaxTxnOps) {
		var txn TxnRequest
		for _, key := range group {
			txn.Success = append(txn.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
		}
		if err := s.call(ctx, "delete", "/v3/kv/txn", txn, &TxnResponse{}); err != nil {
			return err
		}
	}
	return nil
}

// Grant grants a lease for ttl, rounded up to whole seconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var response LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if err := s.call(ctx, "grant", "/v3/lease/grant", LeaseRequest{TTL: seconds}, &response); err != nil {
		return Lease{}, err
	}
	return Lease{ID: response.ID, TTL: time.Duration(response.TTL) * time.Second}, nil
}

// KeepAlive renews a lease. If IsLeaseExpired is true for the error, the lease
// has expired.
func (s *Store) KeepAlive(ctx context.Context, id int64) (Lease, error) {
	var response KeepAliveResponse
	if err := s.call(ctx, "keepalive", "/v3/lease/keepalive", LeaseRequest{ID: id}, &response); err != nil {
		return Lease{}, err
	}
	if response.Result.TTL <= 0 {
		return Lease{}, &Error{Op: "keepalive", Verdict: savoryverdict.NotRun, Err: ErrLeaseExpired}
	}
	return Lease{ID: id, TTL: time.Duration(response.Result.TTL) * time.Second}, nil
}

// Revoke revokes a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id int64) error {
	return s.call(ctx, "revoke", "/v3/lease/revoke", LeaseRequest{ID: id}, &struct{}{})
}

// Watch calls changed for each change to a key that begins with prefix,
// starting at revision from, until ctx ends or the watch fails. A deleted key
// has a nil body. The watch has no timeout: a broken connection looks like
// keys that do not change, so the caller must compare with a read at intervals.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, changed func(Value)) error {
	body, err := json.Marshal(WatchRequest{Create: WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: from,
	}})
	if err != nil {
		return fmt.Errorf("store: watch: %w", err)
	}
	resp, err := s.post(ctx, "/v3/watch", body)
	if err != nil {
		return fmt.Errorf("store: watch: %w", err)
	}
	defer resp.Body.Close()
	bounded := &messageReader{reader: resp.Body}
	dec := json.NewDecoder(bounded)
	for {
		bounded.left = maxWatchBytes
		var message WatchResponse
		if err := dec.Decode(&message); err != nil {
			return fmt.Errorf("store: watch: %w", err)
		}
		if message.Result.Canceled {
			return errors.New("store: watch: the service canceled the watch")
		}
		for _, event := range message.Result.Events {
			v := valueOf(event.Kv)
			if event.Type == EventDelete {
				v.Body = nil
			}
			changed(v)
		}
	}
}

// messageReader returns errWatchTooLarge after left bytes.
type messageReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errWatchTooLarge
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

func (s *Store) call(ctx context.Context, op, path string, req, response any) error {
	err := s.roundTrip(ctx, op, path, req, response)
	if s.OnCall != nil {
		s.OnCall(op, err)
	}
	return err
}

func (s *Store) roundTrip(ctx context.Context, op, path string, req, response any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return &Error{Op: op, Verdict: savoryverdict.NotRun, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, maxReadTimeouts*s.Timeout)
	defer cancel()
	timer := time.AfterFunc(s.Timeout, cancel)
	defer timer.Stop()
	resp, err := s.post(ctx, path, body)
	if err != nil {
		// The connection may be broken: the next call opens a new one.
		httpClient.CloseIdleConnections()
		return &Error{Op: op, Verdict: savoryverdict.OfDial(err), Err: err}
	}
	defer resp.Body.Close()
	received := io.Reader(resp.Body)
	if op == opRange {
		received = &progressReader{reader: resp.Body, onProgress: func() { timer.Reset(s.Timeout) }}
	}
	text, err := io.ReadAll(io.LimitReader(received, maxResponseBytes))
	if err != nil {
		return &Error{Op: op, Verdict: savoryverdict.MayHaveRun, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		verdict := savoryverdict.MayHaveRun
		if resp.StatusCode == http.StatusTooManyRequests {
			// The service applies its rate limit before it runs the call.
			verdict = savoryverdict.NotRun
		}
		err := fmt.Errorf("status %d: %.200s", resp.StatusCode, text)
		return &Error{Op: op, Verdict: verdict, Err: err}
	}
	if err := json.Unmarshal(text, response); err != nil {
		return &Error{Op: op, Verdict: savoryverdict.MayHaveRun, Err: err}
	}
	return nil
}

// progressReader calls onProgress for each part that it reads.
type progressReader struct {
	reader     io.Reader
	onProgress func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}

func (s *Store) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return httpClient.Do(req)
}

func swapTxn(swap Swap) TxnRequest {
	key := []byte(swap.Key)
	write := RequestOp{Put: &PutRequest{Key: key, Value: swap.Body, Lease: swap.Lease}}
	if swap.Body == nil {
		write = RequestOp{Delete: &DeleteRequest{Key: key}}
	}
	return TxnRequest{
		Compare: []Compare{{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: swap.ExpectedRevision}},
		Success: []RequestOp{write},
		Failure: []RequestOp{{Range: &RangeRequest{Key: key}}},
	}
}

func swapResult(swap Swap, txn *TxnResponse, revision int64) SwapResult {
	if txn.Succeeded {
		return SwapResult{Applied: true, Revision: revision}
	}
	result := SwapResult{Current: Value{Key: swap.Key}}
	if len(txn.Responses) > 0 && txn.Responses[0].Range != nil {
		result.Current = firstValue(swap.Key, *txn.Responses[0].Range)
	}
	return result
}

func firstValue(key string, response RangeResponse) Value {
	if len(response.Kvs) == 0 {
		return Value{Key: key}
	}
	return valueOf(response.Kvs[0])
}

func valueOf(kv KeyValue) Value {
	body := kv.Value
	if body == nil {
		body = []byte{}
	}
	return Value{Key: string(kv.Key), Body: body, Revision: kv.ModRevision}
}
