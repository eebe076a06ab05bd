package main

// This file defines the subcommand that prints a configuration document of a given
// size.

import (
	"flag"
	"os"
)

func runDocument(args []string) error {
	flags := flag.NewFlagSet("document", flag.ContinueOnError)
	workers := flags.Int("workers", targetWorkers, "number of engines")
	customers := flags.Int("customers", targetCustomers, "number of customers")
	if err := flags.Parse(args); err != nil {
		return err
	}
	text, err := largeDocument(*workers, *customers).EncodeTOML()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
