"""Stand-ins for what surrounds the system: fabric, callers and backend servers."""
