"""Tests of the platform readers."""
