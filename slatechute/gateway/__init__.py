"""Entry for callers that name a host and a path and choose an entry."""
