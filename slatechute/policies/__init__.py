"""Policies that choose a slot for a request."""
