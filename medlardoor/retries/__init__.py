"""Retry budgets, retry throttles and retry decisions."""
