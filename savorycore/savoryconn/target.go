package savoryconn

// This file defines how the target of a request is passed on unchanged.

import "net/url"

// targetURL returns a URL that package net/http writes exactly as path and
// query.
func targetURL(path, query string, hasQuery bool) *url.URL {
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}
