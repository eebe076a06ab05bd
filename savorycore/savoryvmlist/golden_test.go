package savoryvmlist

import (
	"net/netip"
	"testing"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	// Guards the encoded form of the list. A renamed field without a tag, or an
	// enum with another text, changes the bytes that the list of VMs holds; a
	// process of another build then reads zero values.
	savorygolden.Texts(t, "role", RoleEntry, RoleWorker)
	groups := Groups([]savoryworld.VM{{
		Address: netip.MustParseAddrPort("10.0.0.1:7001"), Zone: "north-1", Region: "north", State: savoryworld.VMLeaving, Entry: true,
	}})
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{{Name: "groups", Value: &groups}})
}
