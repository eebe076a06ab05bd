package savoryclaim

import (
	"net/http"
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// Guards the encoded form of records and store keys. A renamed field without a
	// tag, or an enum with another text, changes the bytes that the records of
	// idempotency keys hold; a process of another build then reads zero values.
	savorygolden.Texts(t, "state", Claimed, Done)
	savorygolden.Texts(t, "storeKey", StoreKey("joiner", "order-1"))
	record := savorygolden.MessagePack
	record.Encode = func(v any) ([]byte, error) { return v.(*Record).Encode() }
	record.Decode = func(body []byte, v any) error {
		r, err := DecodeRecord(body)
		if err == nil {
			*v.(*Record) = *r
		}
		return err
	}
	savorygolden.Check(t, record, []savorygolden.Case{{Name: "record", Value: &Record{
		Identity: Identity{Customer: "joiner", Route: "planks", Method: "POST", Target: "/planks/1", BodySHA256: "aabb"},
		Entry:    "10.0.0.1:7001", Nonce: "n1", At: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC), State: Done,
		Answer: &Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("cut")},
	}}})
}
