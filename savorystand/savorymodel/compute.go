// Package savorymodel provides a small test model and an HTTP engine that
// serves a range of its layers.
//
// The model is a deterministic function of the prompt and the emitted tokens.
// Each layer changes the activation, so that an answer has different words if a
// layer ran twice, was skipped, or ran out of order. ExpectedWords computes the
// correct answer without an engine.
package savorymodel

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryworld"
)

// vocabulary holds the words of the model; an activation selects one of them.
var vocabulary = strings.Fields(`the a on at by north south east west culvert fence gate
	road bridge patrol vehicle guard shift report sleeper timber lot stack yard grade
	sound split oak pine permit crew truck clear checked open closed near post two
	three four team handover water track wire light radio camp river bank ridge`)

// Embed returns the activation before the first layer for the token that
// follows prompt and the emitted tokens.
func Embed(model, version, prompt string, emitted []string) uint64 {
	d := xxhash.New()
	for _, part := range []string{model, version, prompt} {
		_, _ = d.WriteString(part + "\x00")
	}
	for _, word := range emitted {
		_, _ = d.WriteString(word + "\x01")
	}
	return d.Sum64()
}

// Apply applies the layers of r in ascending order to the activation x.
func Apply(x uint64, r savoryworld.LayerRange) uint64 {
	for layer := r.From; layer < r.To; layer++ {
		x = applyLayer(x, uint64(layer))
	}
	return x
}

// Word returns the word that x, the activation after the last layer, selects,
// with a space in front.
func Word(x uint64) string { return " " + vocabulary[x%uint64(len(vocabulary))] }

// ExpectedWords returns the first n words of the correct answer of a model with
// the given number of layers.
func ExpectedWords(model, version, prompt string, layers, n int) []string {
	words := make([]string, 0, n)
	for range n {
		x := Embed(model, version, prompt, words)
		words = append(words, Word(Apply(x, savoryworld.LayerRange{To: layers})))
	}
	return words
}

// CountTokens returns the number of tokens of a prompt, which is its number of
// words.
func CountTokens(prompt string) int { return len(strings.Fields(prompt)) }

// applyLayer applies one layer to the activation x. Two layers do not commute
// and no layer is its own inverse, so that a repeated, skipped or reordered
// layer changes the result.
func applyLayer(x, layer uint64) uint64 {
	x ^= (layer + 1) * 0x9e3779b97f4a7c15
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
