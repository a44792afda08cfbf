"""Small replaceable fakes of platform, targets and callers."""
