"""Bench commands."""
