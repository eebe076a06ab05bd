package savorystore

import "context"

type receivedKey struct{}

// WithReceived returns a context for calls that report their progress: received is called
// in the goroutine of the call with the number of bytes that arrived, 0 for the head of
// a response.
func WithReceived(ctx context.Context, received func(n int)) context.Context {
	return context.WithValue(ctx, receivedKey{}, received)
}

// Received returns the function set by WithReceived, or one that does nothing.
func Received(ctx context.Context) func(n int) {
	if received, ok := ctx.Value(receivedKey{}).(func(int)); ok {
		return received
	}
	return func(int) {}
}
