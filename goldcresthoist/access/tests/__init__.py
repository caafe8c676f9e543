"""Tests of the shared platform calls."""
