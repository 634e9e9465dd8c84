"""Token budget for retries and hedges."""

__all__ = ['RetryBudget']


class RetryBudget:
    """Token bucket that limits extra attempts to a share of the requests."""

    def __init__(self, tokens_per_request: float, max_tokens: float) -> None:
        """Sets up a full bucket.

        Args:
            tokens_per_request: Tokens that each request adds; an extra attempt
                costs one.
            max_tokens: Capacity of the bucket.
        """
        self._tokens_per_request = tokens_per_request
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def deposit(self) -> None:
        """Adds the tokens of one request."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_request)

    def try_withdraw(self) -> bool:
        """Withdraws the token for one extra attempt; returns whether one was left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
