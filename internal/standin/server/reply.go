package server

import (
	"encoding/json"
	"net/http"
	"strings"
)

// ErrorBody is the JSON body of an error response, in the format of the OpenAI
// API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
}

// NewErrorBody returns the body for a message.
func NewErrorBody(message string) ErrorBody { return ErrorBody{Error: ErrorDetail{Message: message}} }

// Refuse responds with an error and reports that the call did not run.
func Refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(HeaderRan, "no")
	WriteJSON(w, status, NewErrorBody(message))
}

// WriteJSON responds with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // fails only if the caller has disconnected
}

// isStream reports whether a response with these headers is a stream of
// server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
