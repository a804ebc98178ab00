"""Stand-ins for the platform, its operator, its servers and its callers."""
