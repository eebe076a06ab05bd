package savoryconn

// This file defines how a request's target is passed on unchanged.

import "net/url"

// targetURL returns a URL that the HTTP library writes exactly as path and
// query.
func targetURL(path, query string, hasQuery bool) *url.URL {
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
