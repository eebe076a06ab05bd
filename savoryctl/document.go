package main

// This file defines the commands that check, read and change the configuration
// document.

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savoryentry/savorynode"
)

const (
	// maxSubmitAttempts is the largest number of calls for one submission while its
	// outcome is unknown.
	maxSubmitAttempts = 3
	// submitRetryDelay is the pause between these calls.
	submitRetryDelay = time.Second
)

// checkResult is the output of the command check with -json.
type checkResult struct {
	Sections []savoryconfig.Section
}

func runCheck(s *session, args []string) error {
	o := s.options("check")
	settings := o.set.Bool("settings", false, "check the settings of an entry instead of a document")
	if err := o.parse(args, 1); err != nil {
		return err
	}
	file := o.set.Arg(0)
	if *settings {
		if _, err := savorynode.ReadSettings(file); err != nil {
			return err
		}
		return o.print(s, checkResult{}, func() { fmt.Fprintln(s.out, "the settings are valid") })
	}
	doc, _, err := readDocument(file)
	if err != nil {
		return err
	}
	if err := doc.Check(); err != nil {
		var inputErr *savoryconfig.InputError
		if errors.As(err, &inputErr) {
			inputErr.File = file
		}
		return err
	}
	return o.print(s, checkResult{Sections: doc.NonEmptySections()}, func() { fmt.Fprintln(s.out, "the document is valid") })
}

func runInit(s *session, args []string) error {
	o := s.options("init")
	submission := o.set.String("submission", "", "`ID` of an earlier submission whose outcome is unknown")
	if err := o.parse(args, 1); err != nil {
		return err
	}
	_, text, err := readDocument(o.set.Arg(0))
	if err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	return s.submit(o, *submission, func(id string) (savoryadmin.Accepted, error) {
		return client.Bootstrap(s.ctx, id, text)
	})
}

func runShow(s *session, args []string) error {
	o := s.options("show")
	section := o.set.String("section", "", "`name` of a section")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	doc, err := client.Document(s.ctx, savoryconfig.Section(*section))
	if err != nil {
		return err
	}
	parsed, err := savoryconfig.Parse("entry "+client.Entry.String(), doc.Text)
	if err != nil {
		return err
	}
	shown := struct {
		Revision uint64
		Document *savoryconfig.Document
	}{doc.Revision, parsed}
	return o.print(s, shown, func() {
		fmt.Fprintf(s.out, "# revision %d\n%s", doc.Revision, doc.Text)
	})
}

func runSubmit(s *session, args []string) error {
	o := s.options("submit")
	section := o.set.String("section", "", "`name` of the section")
	read := o.set.Uint64("read", 0, "`revision` of the section, as show -section NAME prints it")
	submission := o.set.String("submission", "", "`ID` of an earlier submission whose outcome is unknown")
	if err := o.parse(args, 1); err != nil {
		return err
	}
	if !savoryconfig.Section(*section).Valid() {
		return fmt.Errorf("-section: %q is not one of %v", *section, savoryconfig.Sections())
	}
	_, text, err := readDocument(o.set.Arg(0))
	if err != nil {
		return err
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	return s.submit(o, *submission, func(id string) (savoryadmin.Accepted, error) {
		return client.Submit(s.ctx, savoryconfig.Section(*section), *read, id, text)
	})
}

// submit calls send with one submission ID until the outcome is known, at most
// maxSubmitAttempts times. An empty id is replaced by a random one. The ID is printed on
// failure, so that the operator can repeat the submission with this ID.
func (s *session) submit(o *options, id string, send func(id string) (savoryadmin.Accepted, error)) error {
	if id == "" {
		id = rand.Text()
	}
	for attempt := 1; ; attempt++ {
		accepted, err := send(id)
		if err == nil {
			return o.print(s, accepted, func() { fmt.Fprintf(s.out, "accepted as revision %d\n", accepted.Revision) })
		}
		// Unless the error states that the change was not applied, the entry may have
		// accepted it.
		if savoryverdict.Of(err) == savoryverdict.NotRun || attempt == maxSubmitAttempts {
			fmt.Fprintf(s.errOut, "submission %s\n", id)
			return submitError(err)
		}
		time.Sleep(submitRetryDelay)
	}
}

// submitError returns err with a verdict. An error without one is that of an entry from
// which no answer came.
func submitError(err error) error {
	var refused *savoryverdict.Error
	if errors.As(err, &refused) {
		return err
	}
	return &savoryverdict.Error{
		Verdict: savoryverdict.Of(err), Code: "NoAnswer", Message: "the entry did not answer", Err: err,
	}
}

// readDocument reads and parses a document, and returns its text as well.
func readDocument(file string) (*savoryconfig.Document, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("document: %w", err)
	}
	doc, err := savoryconfig.Parse(file, text)
	return doc, text, err
}
