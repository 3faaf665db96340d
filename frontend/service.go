package frontend

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// headerWorkspace tells a service which workspace makes the call.
const headerWorkspace = "Seam-Workspace"

// Only these headers are forwarded between callers and services, so that a caller
// can't change how a connection or a path is interpreted.
var (
	forwardedRequestHeaders  = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match"}
	forwardedResponseHeaders = []string{"Content-Type", "Content-Language", "Content-Disposition", "Etag", "Last-Modified", "Location", "Retry-After"}
)

// service serves /v1/services/{service}/{path...}.
func (f *Frontend) service(w http.ResponseWriter, r *http.Request, c requestInfo) *problem.Problem {
	service, ok := c.current.Document.Service(r.PathValue("service"))
	if !ok {
		return problem.New(http.StatusNotFound, "unknown_service", "no such service", problem.No)
	}
	operation, ok := findOperation(service, r.Method, "/"+r.PathValue("path"))
	if !ok {
		return problem.New(http.StatusNotFound, "unknown_operation", "the service has no such operation", problem.No)
	}
	key, p := f.idempotencyKey(r, operation)
	if p != nil {
		return p
	}
	body, p := readBody(r)
	if p != nil {
		return p
	}
	class, _ := c.current.Document.Class(service.Class)
	deadline, p := requestDeadline(r, c.arrived, class.Deadline.Std())
	if p != nil {
		return p
	}
	answer, err := f.cfg.Runner.RunService(r.Context(), request.ServiceJob{
		ID:             c.id,
		Workspace:      c.workspace.Name,
		Service:        service,
		Operation:      operation,
		Document:       c.current.Document,
		Generation:     c.current.Generation,
		Method:         r.Method,
		Path:           servicePath(r, service.Name),
		Header:         serviceHeader(r, c, key),
		Body:           body,
		IdempotencyKey: key,
		Deadline:       deadline,
	})
	if err != nil {
		return problemOf(err)
	}
	writeServiceAnswer(w, c, answer)
	return nil
}

// idempotencyKey returns the caller's idempotency key, which may be empty only if
// the operation is idempotent.
func (f *Frontend) idempotencyKey(r *http.Request, op document.Operation) (string, *problem.Problem) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return "", malformed("more than one " + HeaderIdempotencyKey)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" && !op.Idempotent {
		return "", problem.New(http.StatusBadRequest, "key_required",
			"this operation may run only once and needs the header "+HeaderIdempotencyKey, problem.No)
	}
	if len(key) > f.cfg.Limits.MaxKeyBytes || hasControlChar(key) {
		return "", malformed("the header " + HeaderIdempotencyKey + " is too long or has control characters")
	}
	return key, nil
}

// findOperation returns the declared operation for a method and path. A segment in
// braces in a declared path matches any one segment.
func findOperation(s document.Service, method, path string) (document.Operation, bool) {
	for _, op := range s.Operations {
		if op.Method == method && matchPath(op.Path, path) {
			return op, true
		}
	}
	return document.Operation{}, false
}

// matchPath reports whether a path matches a pattern, segment by segment.
func matchPath(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	got := strings.Split(path, "/")
	return slices.EqualFunc(want, got, func(w, g string) bool {
		isVariable := strings.HasPrefix(w, "{") && strings.HasSuffix(w, "}")
		return w == g || isVariable && g != ""
	})
}

// servicePath returns the path within the service and the query, escaped as the
// caller sent them.
func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+service)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serviceHeader returns the headers of the call to a service.
func serviceHeader(r *http.Request, c requestInfo, key string) http.Header {
	out := http.Header{}
	copyHeaders(out, r.Header, forwardedRequestHeaders)
	out.Set(headerWorkspace, c.workspace.Name)
	if key != "" {
		out.Set(HeaderIdempotencyKey, key)
	}
	return out
}

// copyHeaders copies the named headers.
func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if values, ok := from[name]; ok {
			to[name] = values
		}
	}
}

// writeServiceAnswer forwards a service's answer to the caller.
func writeServiceAnswer(w http.ResponseWriter, c requestInfo, answer request.ServiceAnswer) {
	header := w.Header()
	copyHeaders(header, answer.Header, forwardedResponseHeaders)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	header.Set(HeaderGeneration, strconv.FormatUint(c.current.Generation, 10))
	header.Set(problem.RanHeader, string(problem.Yes))
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	setWriteDeadline(w)
	w.WriteHeader(answer.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(answer.Body)
}
