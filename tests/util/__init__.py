"""Tests of the helpers that all parts use."""
