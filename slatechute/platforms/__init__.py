"""Readers of the platform service."""
