// Package savoryversion holds the version of the savorycart programs.
package savoryversion

// Version is the version of all programs built from this source tree.
const Version = "0.1.0"
