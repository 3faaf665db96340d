package frontend

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/problem"
)

// authenticate returns the workspace of the key in the request. It looks up and
// compares only hashes of keys, and the comparison takes constant time.
func authenticate(r *http.Request, doc *document.Document) (document.Workspace, *problem.Problem) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return document.Workspace{}, unauthenticated("no workspace key in the header Authorization")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	workspace, ok := doc.WorkspaceByKeyHash(hash)
	if !ok || !hasKeyHash(workspace, hash) {
		return document.Workspace{}, unauthenticated("the workspace key is not known")
	}
	return workspace, nil
}

// hasKeyHash reports whether one of the workspace's key hashes equals hash.
func hasKeyHash(w document.Workspace, hash string) bool {
	found := 0
	for _, h := range w.KeyHashes {
		found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(h)), []byte(hash))
	}
	return found == 1
}

// unauthenticated returns the problem for a caller without a known key.
func unauthenticated(detail string) *problem.Problem {
	return problem.New(http.StatusUnauthorized, "unauthenticated", detail, problem.No)
}

// checkPath rejects paths that upstreams may interpret differently from this host.
func checkPath(u *url.URL) *problem.Problem {
	escaped := strings.ToLower(u.EscapedPath())
	for _, bad := range []string{"%2f", "%5c", "%00", "\\", "//"} {
		if strings.Contains(escaped, bad) {
			return badPath()
		}
	}
	for _, segment := range strings.Split(u.Path, "/") {
		if segment == "." || segment == ".." || hasControlChar(segment) {
			return badPath()
		}
	}
	return nil
}

// hasControlChar reports whether s contains a control character.
func hasControlChar(s string) bool {
	for _, c := range s {
		if c < ' ' || c == 0x7f {
			return true
		}
	}
	return false
}

// badPath returns the problem for an ambiguous path.
func badPath() *problem.Problem {
	return problem.New(http.StatusBadRequest, "bad_path", "the path is ambiguous", problem.No)
}
