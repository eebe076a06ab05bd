package savorystore

// This file defines the messages of the platform's key-value service, in the
// JSON mapping of the etcd v3 API: keys and values are base64, 64-bit numbers
// are strings.

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key with its value.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or only Key if RangeEnd is
// empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// KeysOnly omits the values from the response.
	KeysOnly bool `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key    []byte `json:"key"`
	Target string `json:"target"`
	Result string `json:"result"`
	// ModRevision is compared if Target is "MOD"; 0 stands for an absent key.
	ModRevision int64 `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Txn    *TxnRequest    `json:"request_txn,omitempty"`
}

// TxnRequest runs Success if all comparisons are true, otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// Writes reports whether the transaction may change a key.
func (t TxnRequest) Writes() bool {
	for _, op := range append(t.Success, t.Failure...) {
		if op.Put != nil || op.Delete != nil || (op.Txn != nil && op.Txn.Writes()) {
			return true
		}
	}
	return false
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
	Txn   *TxnResponse   `json:"response_txn,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest grants a lease of TTL seconds, or identifies a lease by ID.
type LeaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest. A TTL of 0 means that the
// lease has expired.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the response stream to a keep-alive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate gives the watched keys and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the events of one message.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []WatchEvent `json:"events,omitempty"`
}

// EventDelete is the Type of an event that deletes a key.
const EventDelete = "DELETE"

// WatchEvent is one change. An empty Type means a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// PrefixEnd returns the end of the range of keys that begin with prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
