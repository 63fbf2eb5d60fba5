// Package retry limits the extra load that retries may cause: a token bucket that
// completions fill and retries drain (retry throttling).
package retry

// Defaults of Options.
const (
	DefaultTokensPerCompletion = 0.1
	DefaultMaxTokens           = 100
)

// Options configures a Budget; zero values select the defaults.
type Options struct {
	// TokensPerCompletion is the number of retries that one completion earns.
	TokensPerCompletion float64
	// MaxTokens is the maximum number of retries that can be saved up, and the initial
	// balance of a budget.
	MaxTokens float64
}

// Budget is the balance of retries that may still be made. Without it, an overload in
// which endpoints refuse tasks would be answered with as many new starts, and the load
// of the retries would sustain the overload after its cause has ended. A budget that is
// a share of the completions can't do that: as completions fall, so do retries.
type Budget struct {
	tokensPerCompletion float64
	maxTokens           float64
	tokens              float64
}

// New returns a budget with its maximum balance.
func New(o Options) *Budget {
	if o.TokensPerCompletion == 0 {
		o.TokensPerCompletion = DefaultTokensPerCompletion
	}
	if o.MaxTokens == 0 {
		o.MaxTokens = DefaultMaxTokens
	}
	return &Budget{tokensPerCompletion: o.TokensPerCompletion, maxTokens: o.MaxTokens, tokens: o.MaxTokens}
}

// Earn records one completion.
func (b *Budget) Earn() { b.tokens = min(b.maxTokens, b.tokens+b.tokensPerCompletion) }

// Spend takes one retry from the budget; it returns false when the budget is exhausted.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
