package savorychain

import (
	"os"
	"testing"

	"savorycart.example/savorycore/savoryseed"
)

func TestMain(m *testing.M) { os.Exit(savoryseed.Run(m)) }
