package server

import (
	"encoding/json"
	"net/http"
	"strings"
)

// ErrorBody is the JSON of an error answer, in the OpenAI shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Message string `json:"message"`
}

// NewErrorBody returns the body for a message.
func NewErrorBody(message string) ErrorBody { return ErrorBody{Error: ErrorDetail{Message: message}} }

// Refuse answers that nothing ran.
func Refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(HeaderRan, "no")
	WriteJSON(w, status, NewErrorBody(message))
}

// WriteJSON answers with one JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // a caller that has gone needs no answer
}

// isStream says whether an answer is server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
