//! Token bucket, the budget of something that is allowed in proportion to something else.

/// A number of tokens up to a capacity.
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    pub(crate) fn full(capacity: f64) -> Self {
        TokenBucket { tokens: capacity, capacity }
    }

    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token, or what is left.
    pub(crate) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}
