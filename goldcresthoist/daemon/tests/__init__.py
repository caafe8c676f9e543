"""Tests of goldcresthoist.daemon."""
