package main

// This file defines the subcommand that makes certificates for a trial.

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

// certificateLifetime is how long the certificates of a trial are valid.
const certificateLifetime = 30 * 24 * time.Hour

func runKeys(args []string) error {
	flags := flag.NewFlagSet("keys", flag.ContinueOnError)
	dir := flags.String("dir", "keys", "`folder` to write into; each name gets a folder below it")
	names := flags.String("names", "entry-1,entry-2,entry-3", "`names`, joined by commas")
	text := flags.String("ip", "127.0.0.1", "`addresses` that each certificate is for, joined by commas")
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
