"""Fakes of the platform, targets, callers and network for tests and benches."""
