// Command savoryctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"savorycart.example/savorycore/savoryversion"
)

func main() {
	fmt.Fprintln(os.Stderr, "savoryctl", savoryversion.Version)
}
