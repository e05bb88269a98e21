"""Retry budgets and retry decisions."""
