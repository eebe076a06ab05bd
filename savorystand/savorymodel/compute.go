// Package savorymodel is a small stand-in for model engines that hold a range
// of layers.
//
// The model is a function of the prompt and the tokens so far in which each
// layer changes the activation: an answer in which a layer ran twice, not at
// all, or out of order has other words. Expect computes the right answer
// without any engine.
package savorymodel

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryworld"
)

// vocabulary holds the words of the model; an activation selects one.
var vocabulary = strings.Fields(`the a on at by north south east west culvert fence gate
	road bridge patrol vehicle guard shift report sleeper timber lot stack yard grade
	sound split oak pine permit crew truck clear checked open closed near post two
	three four team handover water track wire light radio camp river bank ridge`)

// Embed returns the activation before the first layer for the token that
// follows prompt and emitted.
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

// Apply runs the layers of r on an activation.
func Apply(x uint64, r savoryworld.LayerRange) uint64 {
	for layer := r.From; layer < r.To; layer++ {
		x = applyLayer(x, uint64(layer))
	}
	return x
}

// Word returns the word, after a space, that the activation after the last
// layer selects.
func Word(x uint64) string { return " " + vocabulary[x%uint64(len(vocabulary))] }

// ExpectedWords returns the n words that a right answer has.
func ExpectedWords(model, version, prompt string, layers, n int) []string {
	words := make([]string, 0, n)
	for range n {
		x := Embed(model, version, prompt, words)
		words = append(words, Word(Apply(x, savoryworld.LayerRange{To: layers})))
	}
	return words
}

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int { return len(strings.Fields(prompt)) }

// applyLayer runs one layer. Two layers do not commute and none is its own inverse.
func applyLayer(x, layer uint64) uint64 {
	x ^= (layer + 1) * 0x9e3779b97f4a7c15
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}
