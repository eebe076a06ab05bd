package savorynode

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorytls"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

func TestGoldenSettings(t *testing.T) {
	// Guards against a renamed settings field. The field's name is its key in the
	// settings file, so an entry of another version would refuse the file.
	address := netip.MustParseAddrPort("10.0.0.1:7001")
	files := savorytls.Files{Certificate: "c.pem", Key: "k.pem", Authorities: "a.pem"}
	at := func(n int) savoryworld.Duration { return savoryworld.Duration(time.Duration(n) * time.Second) }
	f := savorygolden.TOML
	f.Decode = func(body []byte, v any) error { return savoryconfig.DecodeTOML("golden", body, v) }
	savorygolden.Check(t, f, []savorygolden.Case{{Name: "settings", Value: &Settings{
		Zone: "north-1", Region: "north", LogLevel: "debug", PlainText: true,
		Callers: CallerSettings{
			Address: address, TLS: files, MaxConnections: 10, MaxBodyBytes: 11, MaxHeaderBytes: 12,
			HeaderTimeout: at(1), BodyTimeout: at(2), WriteTimeout: at(3),
		},
		Peers: ListenerSettings{Address: address, TLS: files},
		Admin: AdminSettings{Address: address, TLS: files, BootstrapTokenSHA256: "aabb"},
		Platform: PlatformSettings{
			Store: address, VMList: address, StoreTimeout: at(4), ConfigHome: true,
		},
		Stop:   StopSettings{NoticeTime: at(5), Limit: at(6)},
		Orders: OrderSettings{Enabled: true, MaxLoading: 2, LeaseTime: at(7)},
		Limits: LimitSettings{MemoryMB: 8, MaxDescriptors: 9},
	}}})
}

func TestGoldenCallers(t *testing.T) {
	// Guards against a renamed field without a tag and a changed enum text in the
	// messages to and from callers. Programs of callers would then read zero
	// values.
	savorygolden.Texts(t, "header", headerRequestID, headerCustomer, headerReplayed, headerKey, ownHeaderPrefix)
	request := savorygolden.JSON
	request.Decode = func(body []byte, v any) error {
		r, err := decodeCompletion(body)
		if err == nil {
			*v.(*completionRequest) = *r
		}
		return err
	}
	savorygolden.Check(t, request, []savorygolden.Case{{Name: "completionRequest", Value: &completionRequest{
		Model: "cut", Prompt: new("saw"), Messages: []chatMessage{{Role: "user", Content: "saw", Name: "joiner"}},
		MaxTokens: new(16), MaxCompletionTokens: new(17), Stream: true, StreamOptions: &streamOptions{IncludeUsage: true},
		Temperature: new(0.5), TopP: new(0.9), Seed: new(int64(7)), Stop: json.RawMessage(`["."]`), N: new(1), User: "u1",
	}}})
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		// No real response sets all fields of a choice. This one does, so that
		// every field is compared.
		{Name: "completionAnswer", Value: &completionResponse{
			ID: "a1", Object: "text_completion", Created: 1772600767, Model: "cut",
			Choices: []choice{{
				Index: 1, Text: new("wood"), Message: &chatMessage{Role: "assistant", Content: "wood", Name: "joiner"},
				Delta: &chatDelta{Role: "assistant", Content: "wood"}, FinishReason: new("stop"),
			}},
			Usage: &usage{PromptTokens: 3, CompletionTokens: 4, TotalTokens: 7},
		}},
		{Name: "modelList", Value: &modelList{Object: "list", Data: []modelItem{{ID: "cut", Object: "model", OwnedBy: "savorycart"}}}},
	})
}

func TestGoldenAnswers(t *testing.T) {
	// Guards against a changed framing or wording of the events of a streamed
	// response. Programs of callers parse both, and cannot be changed here.
	is := is.New(t)
	var body bytes.Buffer
	for _, chat := range []bool{false, true} {
		form := &responseBuilder{id: "a1", created: 1772600767, c: &completion{
			pipeline: &savoryworld.Pipeline{Name: "cut"}, chat: chat, promptTokens: 3,
		}}
		is.NoErr(writeEvent(&body, form.chunk("wood", "", true)))
		is.NoErr(writeEvent(&body, form.chunk("wood", "stop", false)))
		is.NoErr(writeEvent(&body, form.usageChunk(4)))
		is.NoErr(writeEvent(&body, form.response("wood", "length", 4)))
	}
	for _, status := range []int{400, 503} {
		is.NoErr(writeEvent(&body, newErrorBody(&savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: status, Code: "Full", Field: "model", Message: "is full",
		})))
	}
	is.Equal(body.String(), string(savorygolden.File(t, "answers.txt", body.Bytes())))
}

func TestGoldenRecords(t *testing.T) {
	// Guards against a renamed field without a tag and a changed enum text in the
	// stored marks. An entry of another version would then read zero values.
	savorygolden.Texts(t, "key", rootKey, bucketPrefix, markPrefix, ordererPrefix)
	f := savorygolden.JSON
	f.Encode = func(v any) ([]byte, error) { return encodeMark(*v.(*savorymember.Mark)) }
	f.Decode = func(body []byte, v any) error {
		mark, err := decodeMark(body)
		*v.(*savorymember.Mark) = mark
		return err
	}
	savorygolden.Check(t, f, []savorygolden.Case{{Name: "mark", Value: &savorymember.Mark{
		Server: "oak-1", Source: savorymember.FromOperator, Leaving: true, At: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC),
	}}})
}
