"""Tests of goldcresthoist.table."""
