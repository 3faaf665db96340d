package model

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Without max_tokens an answer has from minAnswerTokens to minAnswerTokens +
// answerTokenRange - 1 tokens, or more if it has more references.
const (
	minAnswerTokens  = 24
	answerTokenRange = 17
)

// referencePattern matches the references that callers put into prompts.
// Answers repeat them.
var referencePattern = regexp.MustCompile(`ref-[0-9A-Za-z-]+`)

// Prompt returns the text that an engine processes for a chat.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// Tokens splits a prompt into what the stand-in counts as tokens.
func Tokens(prompt string) []string { return strings.Fields(prompt) }

// Answer returns the tokens of the answer that every engine gives to a prompt,
// and whether maxTokens truncated it (0 means no limit). The text is their
// concatenation. The answer repeats each reference of the form ref-… in the
// prompt, so that a caller can recognise the answer to its own request.
func Answer(model, prompt string, maxTokens int) (tokens []string, truncated bool) {
	digest := xxh3.HashString(model + "\n" + prompt)
	tokens = answerTokens(digest, References(prompt))
	if maxTokens > 0 && len(tokens) > maxTokens {
		return tokens[:maxTokens], true
	}
	return tokens, false
}

// IsCompleteAnswer reports whether text is one complete answer to a prompt with these
// references.
func IsCompleteAnswer(text string, references ...string) bool {
	var digest uint64
	if _, err := fmt.Sscanf(text, "Answer %16x", &digest); err != nil {
		return false
	}
	return text == strings.Join(answerTokens(digest, references), "")
}

// answerTokens returns the tokens of the answer to a prompt with this digest
// and these references.
func answerTokens(digest uint64, references []string) []string {
	tokens := []string{fmt.Sprintf("Answer %016x", digest)}
	for _, reference := range references {
		tokens = append(tokens, " "+reference)
	}
	length := minAnswerTokens + int(digest%answerTokenRange)
	for i := len(tokens); i < length; i++ {
		tokens = append(tokens, fmt.Sprintf(" t%d-%04x", i, tokenSuffix(digest, i)))
	}
	return tokens
}

// References returns the distinct references of the form ref-… in a text.
func References(text string) []string {
	var references []string
	for _, reference := range referencePattern.FindAllString(text, -1) {
		if !slices.Contains(references, reference) {
			references = append(references, reference)
		}
	}
	return references
}

// tokenSuffix returns the part of a token that depends on the digest.
func tokenSuffix(digest uint64, index int) uint16 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d/%d", digest, index) // writing to a hash never fails
	return uint16(h.Sum32())
}
