package savorystore

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// Guards against a change of the bytes that the platform's store receives,
	// such as by a renamed field without a tag or an enum with another text. A
	// process of another build would read zero values.
	header := Header{Revision: 71}
	kv := KeyValue{Key: []byte("k"), Value: []byte("v"), ModRevision: 70, Lease: 6}
	compare := []Compare{{Key: []byte("k"), Target: "MOD", Result: "EQUAL", ModRevision: 70}}
	ranged := &RangeRequest{Key: []byte("k"), RangeEnd: []byte("l"), KeysOnly: true}
	put := &PutRequest{Key: []byte("k"), Value: []byte("v"), Lease: 6}
	op := func(inner *TxnRequest) []RequestOp {
		return []RequestOp{{Range: ranged, Put: put, Delete: &DeleteRequest{Key: []byte("k")}, Txn: inner}}
	}
	inner := &TxnRequest{Compare: compare, Success: op(nil), Failure: op(nil)}
	response := &RangeResponse{Header: header, Kvs: []KeyValue{kv}}
	innerResponse := &TxnResponse{Header: header, Succeeded: true, Responses: []ResponseOp{{Range: response}}}
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		{Name: "rangeRequest", Value: ranged},
		{Name: "rangeResponse", Value: response},
		{Name: "putRequest", Value: put},
		// Transactions nest to any depth; the inner one contains no further one.
		{Name: "txnRequest", Value: &TxnRequest{Compare: compare, Success: op(inner), Failure: op(inner)}, Zero: []string{
			"TxnRequest.Failure[0].Txn.Failure[0].Txn", "TxnRequest.Failure[0].Txn.Success[0].Txn",
			"TxnRequest.Success[0].Txn.Failure[0].Txn", "TxnRequest.Success[0].Txn.Success[0].Txn",
		}},
		{
			Name: "txnResponse", Value: &TxnResponse{Header: header, Succeeded: true, Responses: []ResponseOp{{Range: response, Txn: innerResponse}}},
			Zero: []string{"TxnResponse.Responses[0].Txn.Responses[0].Txn"},
		},
		{Name: "leaseRequest", Value: &LeaseRequest{TTL: 10, ID: 6}},
		{Name: "leaseResponse", Value: &LeaseResponse{Header: header, ID: 6, TTL: 10}},
		{Name: "keepAliveResponse", Value: &KeepAliveResponse{Result: LeaseResponse{Header: header, ID: 6, TTL: 10}}},
		{Name: "watchRequest", Value: &WatchRequest{Create: WatchCreate{Key: []byte("k"), RangeEnd: []byte("l"), StartRevision: 70}}},
		{Name: "watchResponse", Value: &WatchResponse{Result: WatchResult{
			Header: header, Created: true, Canceled: true, Events: []WatchEvent{{Type: EventDelete, Kv: kv}},
		}}},
	})
}
