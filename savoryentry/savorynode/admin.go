package savorynode

// This file defines the HTTP API for operators.

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryversion"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// maxDocumentBytes bounds the size of a submitted document.
	maxDocumentBytes = 16 << 20
	// submitTimeout bounds the time of one submission.
	submitTimeout = 15 * time.Second
	// maxMarkTries bounds the attempts to write one mark.
	maxMarkTries = 5
)

// admin serves the requests of operators.
type admin struct {
	settings         *Settings
	log              log.Interface
	now              func() time.Time
	keeper           *configKeeper
	config           *configStore
	store            *savorystore.Store
	tables           *tables
	gossip           *gossiper
	metrics          *metrics
	requestsInFlight *inFlightCounter
	claims           *claimRunner
	ready            func() error
	drain            func()
}

// handler returns the HTTP handler for operators.
func (a *admin) handler() http.Handler {
	router := bunrouter.New()
	router.GET("/healthz", a.serve(func(w http.ResponseWriter, _ bunrouter.Request) error {
		writeJSON(w, http.StatusOK, "ok")
		return nil
	}))
	router.GET("/readyz", a.serve(a.serveReady))
	router.GET("/v1/status", a.serve(a.serveStatus))
	router.POST(savoryadmin.WherePath, a.serve(a.serveWhere))
	router.GET("/v1/config/document", a.serve(a.serveDocument))
	router.POST("/v1/config/document", a.serve(a.serveBootstrap))
	router.POST("/v1/config/sections/:section", a.serve(a.serveSubmit))
	router.POST("/v1/backendservers/:name/leaving", a.serve(a.serveLeaving))
	router.POST("/v1/drain", a.serve(a.serveDrain))
	exported := promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{})
	router.GET("/metrics", bunrouter.HTTPHandler(exported))
	return router
}

func (a *admin) serve(handle func(http.ResponseWriter, bunrouter.Request) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := handle(w, r); err != nil {
			e := savoryverdict.Wrap(err)
			a.log.WithError(err).WithField("path", r.URL.Path).Info("operator's request failed")
			writeError(w, e)
		}
		return nil
	}
}

func (a *admin) serveReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if err := a.ready(); err != nil {
		return savoryverdict.Unavailable("NotReady", 0, "%v", err)
	}
	writeJSON(w, http.StatusOK, "ready")
	return nil
}

func (a *admin) serveStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	now := a.now()
	status := savoryadmin.Status{
		Address: a.settings.Peers.Address, Zone: a.settings.Zone, Region: a.settings.Region,
		Version: savoryversion.Version, Revision: a.keeper.revision(), Draining: a.gossip.draining.Load(), Watcher: a.gossip.isWatcher(),
		InFlight: a.requestsInFlight.count(), Traffic: a.gossip.peers.Traffic(),
	}
	if err := a.ready(); err != nil {
		status.NotReady = err.Error()
	}
	status.Ready = status.NotReady == ""
	_, status.Keys = a.claims.heldLease()
	if s := a.keeper.snapshot(); s != nil {
		for _, section := range savoryconfig.Sections() {
			owner, _ := s.Document.Owner(section)
			status.Sections = append(status.Sections, savoryadmin.SectionStatus{Section: section, Revision: s.Root.Section(section).Revision, Owner: owner.Name})
		}
	}
	a.tables.members.with(func(m *memberState) {
		live := make(map[netip.AddrPort]bool)
		for _, p := range m.table.Live(now) {
			live[p.Address] = true
		}
		for _, p := range m.table.Peers() {
			status.Peers = append(status.Peers, savoryadmin.PeerStatus{Address: p.Address, Zone: p.Zone, Live: live[p.Address]})
		}
		status.Leaving = m.marks.All(now)
	})
	a.tables.chains.with(func(t *savorychain.Table) { status.Servers = t.Status(now) })
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (a *admin) serveDocument(w http.ResponseWriter, r bunrouter.Request) error {
	s := a.keeper.snapshot()
	if s == nil {
		return notFound("Document", "no document has been accepted yet")
	}
	doc := s.Document
	revision := s.Revision()
	if name := r.URL.Query().Get("section"); name != "" {
		section := savoryconfig.Section(name)
		if !section.Valid() {
			return savoryverdict.Invalid("section", "%q is not a section", name)
		}
		doc = doc.ExtractSection(section)
		revision = s.Root.Section(section).Revision
	}
	text, err := doc.EncodeTOML()
	if err != nil {
		return err
	}
	w.Header().Set(savoryadmin.HeaderRevision, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Type", "application/toml")
	_, err = w.Write(text)
	return err
}

// serveBootstrap handles the submission of the first document.
func (a *admin) serveBootstrap(w http.ResponseWriter, r bunrouter.Request) error {
	doc, err := readDocument(w, r.Request)
	if err != nil {
		return err
	}
	want := a.settings.Admin.BootstrapTokenSHA256
	sections := make(map[savoryconfig.Section]uint64)
	for _, s := range savoryconfig.Sections() {
		sections[s] = 0
	}
	return a.submit(w, r, submission{
		sections: sections, document: doc,
		authorize: func(*savoryconfig.Document) error {
			if want == "" || !tokenMatches(r.Request, want) {
				return tokenError("the bootstrap token is missing or wrong")
			}
			return nil
		},
	})
}

// serveSubmit handles the submission of one section.
func (a *admin) serveSubmit(w http.ResponseWriter, r bunrouter.Request) error {
	section := savoryconfig.Section(r.Param("section"))
	if !section.Valid() {
		return savoryverdict.Invalid("section", "%q is not a section", section)
	}
	read, err := strconv.ParseUint(r.URL.Query().Get("read"), 10, 64)
	if err != nil {
		return savoryverdict.Invalid("read", "must be the revision that the section was read at")
	}
	doc, err := readDocument(w, r.Request)
	if err != nil {
		return err
	}
	for _, other := range doc.NonEmptySections() {
		if other != section {
			return savoryverdict.Invalid(string(other), "only section %s may be in this submission", section)
		}
	}
	return a.submit(w, r, submission{
		sections: map[savoryconfig.Section]uint64{section: read}, document: doc,
		authorize: func(current *savoryconfig.Document) error {
			owner, ok := current.Owner(section)
			if !ok || !tokenMatches(r.Request, owner.TokenSHA256) {
				return tokenError(fmt.Sprintf("section %s belongs to team %q; its token is required", section, owner.Name))
			}
			return nil
		},
	})
}

// submit applies a submission in the store, puts the new revision in force in
// this entry and announces it to the peers.
func (a *admin) submit(w http.ResponseWriter, r bunrouter.Request, s submission) error {
	if !a.settings.Platform.ConfigHome {
		return savoryverdict.Unavailable("OtherHomeRegion", 0, "changes are accepted by entries of the configuration's home region only")
	}
	s.id = r.URL.Query().Get("submission")
	if s.id == "" {
		s.id = newRequestID()
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	done, err := a.config.submit(ctx, s, a.keeper.snapshot(), a.keeper)
	a.logSubmission(s, done, err)
	if err != nil {
		return err
	}
	if _, err := a.keeper.apply(done.root, done.buckets, a.config.fetch(ctx), "submission"); err != nil {
		a.log.WithError(err).Error("accepted revision is not in force at this entry yet")
	}
	a.gossip.announceRevision(ctx)
	writeJSON(w, http.StatusOK, savoryadmin.Accepted{Revision: done.revision})
	return nil
}

func (a *admin) logSubmission(s submission, done accepted, err error) {
	var names []string
	for section := range s.sections {
		names = append(names, string(section))
	}
	entry := a.log.WithFields(log.Fields{"submission": s.id, "sections": strings.Join(names, ",")})
	if err != nil {
		entry.WithError(err).Info("submission refused")
		return
	}
	entry.WithField("revision", done.revision).Info("submission accepted")
}

// serveLeaving sets or clears the leaving mark of a backend server on behalf
// of an operator. The mark is announced to the peers and written to the
// store.
func (a *admin) serveLeaving(w http.ResponseWriter, r bunrouter.Request) error {
	if err := a.authorizeTeam(r.Request, savoryconfig.BackendServers); err != nil {
		return err
	}
	name := r.Param("name")
	if a.keeper.snapshot().Server(name) == nil {
		return notFound("name", "no backend server %q", name)
	}
	var leave savoryadmin.LeaveRequest
	dec := json.NewDecoder(io.LimitReader(r.Body, maxDocumentBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&leave); err != nil {
		return jsonError(err)
	}
	mark := savorymember.Mark{Server: name, Source: savorymember.FromOperator, Leaving: leave.Leaving, At: a.now()}
	// The mark is announced before it is stored, so that an unavailable store
	// does not delay its effect, only its durability.
	a.gossip.announceMarks(r.Context(), []savorymember.Mark{mark})
	if err := a.storeMark(r.Context(), mark); err != nil {
		return &savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: http.StatusServiceUnavailable, Code: "StoreOut",
			Message: "the mark is in force but not stored yet; retry the request", RetryAfter: submitRetryAfter, Err: err,
		}
	}
	writeJSON(w, http.StatusOK, mark)
	return nil
}

// storeMark writes a mark unless the store holds one that is not older.
func (a *admin) storeMark(ctx context.Context, mark savorymember.Mark) error {
	body, err := encodeMark(mark)
	if err != nil {
		return err
	}
	key := markPrefix + mark.Server
	for range maxMarkTries {
		current, err := a.store.Get(ctx, key)
		if err != nil {
			return err
		}
		if current.Exists() {
			if old, err := decodeMark(current.Body); err == nil && !old.At.Before(mark.At) {
				return nil
			}
		}
		result, err := a.store.Swap(ctx, savorystore.Swap{Key: key, ExpectedRevision: current.Revision, Body: body})
		if err != nil {
			return err
		}
		if result.Applied {
			return nil
		}
	}
	return errors.New("the mark was changed concurrently in every attempt")
}

// serveDrain begins the planned stop of the entry.
func (a *admin) serveDrain(w http.ResponseWriter, r bunrouter.Request) error {
	if err := a.authorizeTeam(r.Request, ""); err != nil {
		return err
	}
	a.drain()
	writeJSON(w, http.StatusAccepted, "draining")
	return nil
}

// authorizeTeam requires the token of the team that owns the section, or of
// any team if section is empty.
func (a *admin) authorizeTeam(r *http.Request, section savoryconfig.Section) error {
	s := a.keeper.snapshot()
	if s == nil {
		return savoryverdict.Unavailable("NoConfiguration", unreadyRetryAfter, "no configuration is in force at this entry yet")
	}
	var teams []savoryworld.Team
	if section == "" {
		teams = s.Document.Teams
	} else if owner, ok := s.Document.Owner(section); ok {
		teams = append(teams, owner)
	}
	for _, team := range teams {
		if tokenMatches(r, team.TokenSHA256) {
			return nil
		}
	}
	return tokenError("a team's token is required")
}

// readDocument reads a TOML document from the body of a request.
func readDocument(w http.ResponseWriter, r *http.Request) (*savoryconfig.Document, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		return nil, savoryverdict.Invalid("Body", "%v", err)
	}
	doc, err := savoryconfig.Parse("", text)
	if err != nil {
		var input *savoryconfig.InputError
		if errors.As(err, &input) {
			return nil, savoryverdict.Invalid(input.Field, "%s", input.Error())
		}
		return nil, err
	}
	return doc, nil
}

// tokenMatches reports whether the bearer token of the request has the given
// SHA-256 digest.
func tokenMatches(r *http.Request, sha256Hex string) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(sha256Hex)) == 1
}

func tokenError(message string) error {
	return &savoryverdict.Error{
		Verdict: savoryverdict.NotRun, Status: http.StatusForbidden, Code: "NotAllowed",
		Field: "Authorization", Message: message,
	}
}

func encodeMark(mark savorymember.Mark) ([]byte, error) {
	body, err := json.Marshal(mark)
	if err != nil {
		return nil, fmt.Errorf("mark: %w", err)
	}
	return body, nil
}

func decodeMark(body []byte) (savorymember.Mark, error) {
	var mark savorymember.Mark
	if err := json.Unmarshal(body, &mark); err != nil {
		return mark, fmt.Errorf("mark: %w", err)
	}
	return mark, mark.Check()
}
