package main

// This file defines the subcommand that issues TLS certificates for test
// deployments.

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"savorycart.example/savorycore/savorykeys"
)

// certificateLifetime is how long the issued certificates are valid.
const certificateLifetime = 30 * 24 * time.Hour

func runKeys(args []string) error {
	flags := flag.NewFlagSet("keys", flag.ContinueOnError)
	dir := flags.String("dir", "keys", "output `directory`; each name gets a subdirectory")
	names := flags.String("names", "entry-1,entry-2,entry-3", "comma-separated `names`, one certificate each")
	text := flags.String("ip", "127.0.0.1", "comma-separated IP `addresses` in each certificate")
	if err := flags.Parse(args); err != nil {
		return err
	}
	var addresses []netip.Addr
	for _, part := range strings.Split(*text, ",") {
		address, err := netip.ParseAddr(part)
		if err != nil {
			return fmt.Errorf("-ip: %w", err)
		}
		addresses = append(addresses, address)
	}
	authority, err := savorykeys.NewAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	for _, name := range strings.Split(*names, ",") {
		folder := filepath.Join(*dir, name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("-dir: %w", err)
		}
		files, err := authority.Issue(folder, addresses)
		if err != nil {
			return err
		}
		fmt.Println(files.Certificate, files.Key, files.Authorities)
	}
	return nil
}
