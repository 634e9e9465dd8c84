"""Retry and hedge budgets."""

__all__ = ['RetryBudget']


class RetryBudget:
    """Lets extra attempts be at most a share of the requests."""

    def __init__(self, tokens_per_request: float, max_tokens: float) -> None:
        """Starts full.

        Args:
            ratio: Extra attempts earned by each request.
            cap: Most extra attempts saved up.
        """
        self._tokens_per_request = tokens_per_request
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def deposit(self) -> None:
        """Earns a share for one request."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_request)

    def try_withdraw(self) -> bool:
        """Spends one extra attempt; False where none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
