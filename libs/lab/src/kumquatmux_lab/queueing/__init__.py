"""A queueing model that drives placement under a simulated clock."""
