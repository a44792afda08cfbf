"""Tests of the gateway entry."""
