// Package retry limits the extra load that retries may cause: a token bucket that
// completions fill and retries drain (retry throttling).
package retry

// Defaults of Options.
const (
	DefaultShare   = 0.1
	DefaultReserve = 100
)

// Options configures a Budget; zero values select the defaults.
type Options struct {
	// Share is the number of retries that one completion earns.
	Share float64
	// Reserve is the maximum number of retries that can be saved up, and the initial
	// balance of a budget.
	Reserve float64
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
	if o.Share == 0 {
		o.Share = DefaultShare
	}
	if o.Reserve == 0 {
		o.Reserve = DefaultReserve
	}
	return &Budget{tokensPerCompletion: o.Share, maxTokens: o.Reserve, tokens: o.Reserve}
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
