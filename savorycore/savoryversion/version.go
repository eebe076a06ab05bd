// Package savoryversion holds the version of the programs.
package savoryversion

// Version is the version of this source tree.
const Version = "0.1.0"
