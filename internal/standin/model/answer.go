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

// The natural length of an answer is from minAnswerTokens up to
// minAnswerTokens + answerSpread - 1 tokens.
const (
	minAnswerTokens = 24
	answerSpread    = 17
)

// reference is a caller's own mark, which answers repeat.
var reference = regexp.MustCompile(`ref-[0-9A-Za-z-]+`)

// Prompt is the text that an engine sees for a chat.
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

// Tokens splits a prompt as the stand-in counts tokens.
func Tokens(prompt string) []string { return strings.Fields(prompt) }

// Answer returns the tokens with which every engine answers a prompt, and
// whether maxTokens (0: no bound) cut it off. Joined, they are the text. The
// answer repeats each mark of the form ref-… that the prompt contains, so that
// a caller knows its own answer.
func Answer(model, prompt string, maxTokens int) (tokens []string, cut bool) {
	digest := xxh3.HashString(model + "\n" + prompt)
	tokens = answerTokens(digest, References(prompt))
	if maxTokens > 0 && len(tokens) > maxTokens {
		return tokens[:maxTokens], true
	}
	return tokens, false
}

// IsWhole says whether a text is one whole answer to a prompt with the marks.
func IsWhole(text string, marks ...string) bool {
	var digest uint64
	if _, err := fmt.Sscanf(text, "Answer %16x", &digest); err != nil {
		return false
	}
	return text == strings.Join(answerTokens(digest, marks), "")
}

// answerTokens returns the tokens that follow from a prompt's digest and marks.
func answerTokens(digest uint64, marks []string) []string {
	tokens := []string{fmt.Sprintf("Answer %016x", digest)}
	for _, mark := range marks {
		tokens = append(tokens, " "+mark)
	}
	natural := minAnswerTokens + int(digest%answerSpread)
	for i := len(tokens); i < natural; i++ {
		tokens = append(tokens, fmt.Sprintf(" t%d-%04x", i, word(digest, i)))
	}
	return tokens
}

// References returns the different marks of the form ref-… in a text.
func References(text string) []string {
	var marks []string
	for _, mark := range reference.FindAllString(text, -1) {
		if !slices.Contains(marks, mark) {
			marks = append(marks, mark)
		}
	}
	return marks
}

// word returns the content of one token.
func word(digest uint64, index int) uint16 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d/%d", digest, index) // a hash takes every write
	return uint16(h.Sum32())
}
