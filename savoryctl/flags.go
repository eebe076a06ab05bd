package main

// This file defines the flags that commands share, and the clients made from them.

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconn"
)

const (
	// callTimeout is the timeout of one call of an entry.
	callTimeout = 20 * time.Second
	// tokenVariable is the environment variable with the team's token.
	tokenVariable = "SAVORYCART_TOKEN"
)

// options holds the flags of one command.
type options struct {
	set       *flag.FlagSet
	entries   *string
	tokenFile *string
	authority *string
	json      *bool
}

// options returns the flags that all commands that call an entry share.
func (s *session) options(name string) *options {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(s.errOut)
	return &options{
		set:       set,
		entries:   set.String("entry", "127.0.0.1:9090", "`address` of the operators' listener; several are joined by commas"),
		tokenFile: set.String("token-file", "", "`file` with the team's token (default: environment variable "+tokenVariable+")"),
		authority: set.String("ca", "", "`file` with the authorities of the listener's certificate; without it TLS is not used"),
		json:      set.Bool("json", false, "print JSON"),
	}
}

// parse parses the flags and checks that want arguments remain. Otherwise it prints the
// usage and returns errUsage.
func (o *options) parse(args []string, want int) error {
	if err := o.set.Parse(args); err != nil {
		return errUsage
	}
	if o.set.NArg() != want {
		fmt.Fprintf(o.set.Output(), "savoryctl %s: %d arguments, want %d\n", o.set.Name(), o.set.NArg(), want)
		o.set.Usage()
		return errUsage
	}
	return nil
}

// clients returns a client for each entry of the flag -entry.
func (o *options) clients(s *session) ([]*savoryadmin.Client, error) {
	token, err := o.token(s)
	if err != nil {
		return nil, err
	}
	transport, err := o.transport()
	if err != nil {
		return nil, err
	}
	var clients []*savoryadmin.Client
	for _, text := range strings.Split(*o.entries, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, fmt.Errorf("-entry: %w", err)
		}
		clients = append(clients, &savoryadmin.Client{
			Entry: address, Token: token, TLS: *o.authority != "",
			HTTP: &http.Client{Timeout: callTimeout, Transport: transport},
		})
	}
	return clients, nil
}

// client returns the client of the first entry.
func (o *options) client(s *session) (*savoryadmin.Client, error) {
	clients, err := o.clients(s)
	if err != nil {
		return nil, err
	}
	return clients[0], nil
}

// token returns the token of -token-file or else of the environment.
func (o *options) token(s *session) (string, error) {
	if *o.tokenFile == "" {
		return s.getenv(tokenVariable), nil
	}
	text, err := os.ReadFile(*o.tokenFile)
	if err != nil {
		return "", fmt.Errorf("-token-file: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// transport returns the default transport, or one that trusts only the authorities of
// -ca.
func (o *options) transport() (http.RoundTripper, error) {
	if *o.authority == "" {
		return savoryconn.DefaultTransport(), nil
	}
	text, err := os.ReadFile(*o.authority)
	if err != nil {
		return nil, fmt.Errorf("-ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("-ca: %s holds no certificate", *o.authority)
	}
	return savoryconn.NewStrictTransport(&http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}), nil
}

// print writes v as JSON if -json is set, and otherwise calls text.
func (o *options) print(s *session, v any, text func()) error {
	if !*o.json {
		text()
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
